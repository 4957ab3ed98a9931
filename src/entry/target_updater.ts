/**
 * Applies the updates on targets that come from lists, deciders, ranks and the targets
 * themselves, and returns effects for those that the log or other entries need.
 *
 * @module
 */
import type { Message, RefusedMessage } from "../messages/types.ts";
import type { TargetLimits } from "../policy/target_limits.ts";
import type { CrashWatch } from "./crash_watch.ts";
import {
  createGroupObservedRecord,
  createReachabilityRecord,
  createTargetEndedRecord,
} from "./decision_records.ts";
import { isTargetFault } from "./failures.ts";
import type { TargetRecord } from "./target_record.ts";
import type { TargetRegistry } from "./target_registry.ts";
import type { TargetSelection } from "./target_selection.ts";
import type {
  EntryEffect,
  GroupLoadReceived,
  GroupObserved,
  InstancesListed,
} from "./types.ts";
import type { WarmUpWatch } from "./warm_up_watch.ts";

/** The target of an update, and the time of the update in milliseconds. */
export interface TargetEventContext {
  readonly target: TargetRecord;
  /** When the attempt that the update belongs to was sent, in milliseconds. */
  readonly sentAt?: number;
  readonly now: number;
}

/** Options of {@link TargetUpdater}. */
export interface TargetUpdaterOptions {
  readonly selection: TargetSelection;
  readonly crashes: CrashWatch;
  readonly limits: TargetLimits;
  readonly warmUp: WarmUpWatch;
}

/** Applies updates on targets. */
export class TargetUpdater {
  readonly #options: TargetUpdaterOptions;

  /** Creates an updater for the targets of a selection. */
  constructor(options: TargetUpdaterOptions) {
    this.#options = options;
  }

  /** Applies a list of the back ends that are called directly. */
  recordInstances(event: InstancesListed): readonly EntryEffect[] {
    const { instances, now } = event;
    const { selection, limits, warmUp } = this.#options;
    const listed = new Set(instances.map(({ id }) => id));
    limits.setListed(listed, now);
    this.#registry.leaving.setListed(listed, now);
    const warmUpRecords = warmUp.recordInstances(event);
    selection.availability.permits.removeUnlimited();
    const gone = selection.setInstances(instances, now).flatMap((target) => [
      createTargetEndedRecord(target),
      ...this.#recordGone({ target, now }),
    ]);
    return [...warmUpRecords, ...gone];
  }

  /** Applies a report of a group's decider on the load of its ranks. */
  recordGroupLoad({ load, now }: GroupLoadReceived): readonly EntryEffect[] {
    const hasChanged = this.#registry.setGroupLoad(load, now);
    return hasChanged ? [createGroupObservedRecord(load, "decider")] : [];
  }

  /** Applies an observation of whether a group runs, which a rank's sidecar sent. */
  recordGroupObservation(
    { observation, now }: GroupObserved,
  ): readonly EntryEffect[] {
    const { group, isOpen, ageMs } = observation;
    const observedAt = now - ageMs;
    const hasChanged = this.#registry.groups.observe(group, {
      isOpen,
      observedAt,
    });
    return hasChanged ? [createGroupObservedRecord(observation, "rank")] : [];
  }

  /** Applies a message of a target that belongs to no attempt. */
  recordMessage(message: Message, { target, now }: TargetEventContext): void {
    switch (message.kind) {
      case "report":
        return target.setReportedLoad(message.queued + message.running, now);
      case "leaving":
        return target.setAnnouncedLeaving(true);
      case "serving":
        return target.setAnnouncedLeaving(false);
      case "claims":
        return this.#registry.setClaims(target, message);
      default:
        return;
    }
  }

  /** Records that a target began to answer an attempt. */
  recordReached(target: TargetRecord): readonly EntryEffect[] {
    const { reachability } = this.#options.selection.availability;
    return reachability.recordReached(target)
      ? [createReachabilityRecord(target, true)]
      : [];
  }

  /** Records that a target refused an attempt, or that the attempt failed there. */
  recordRefused(
    message: RefusedMessage,
    context: TargetEventContext,
  ): readonly EntryEffect[] {
    return [
      ...this.#recordReachability(message, context),
      ...this.#recordRefusal(message, context),
    ];
  }

  /**
   * Records whether the target could be connected to. Failures after the request may have
   * run do not show that.
   */
  #recordReachability(
    { reason, submission }: RefusedMessage,
    { target, now, sentAt = now }: TargetEventContext,
  ): readonly EntryEffect[] {
    if (reason === "BACK_END_UNREACHABLE") {
      const { reachability } = this.#options.selection.availability;
      return reachability.recordFailed(target, { tookMs: now - sentAt, now })
        ? [createReachabilityRecord(target, false)]
        : [];
    }
    return submission === "not-run" ? this.recordReached(target) : [];
  }

  #recordRefusal(
    { reason, submission, keptMs, lostPeer, notice }: RefusedMessage,
    context: TargetEventContext,
  ): readonly EntryEffect[] {
    const { target, now } = context;
    // A backoff already determines for how long the target gets no requests.
    if (notice?.backoff.kind !== "backoff") {
      target.recordAttempt(isTargetFault(reason), now);
    }
    if (submission === "unknown") target.forgetConnections();
    else target.recordConnection(keptMs, now);
    switch (reason) {
      case "TARGET_LEAVING":
        target.setAnnouncedLeaving(true);
        return [];
      case "WRONG_INSTANCE":
        target.setAnnouncedLeaving(true);
        return target.isListedLeaving ? [] : this.#recordGone(context);
      case "GROUP_CLOSED":
        return this.#recordGroupClosed(context, lostPeer);
      default:
        return [];
    }
  }

  get #registry(): TargetRegistry {
    return this.#options.selection.registry;
  }

  /** Records that a target is gone without having announced that it leaves. */
  #recordGone({ target, now }: TargetEventContext): readonly EntryEffect[] {
    return this.#options.crashes.recordGone(target.name, now);
  }

  /**
   * Records that a target reported the loss of another rank of its group, whose id
   * `lostPeer` is unless the report names none.
   */
  #recordGroupClosed(
    { target, now }: TargetEventContext,
    lostPeer: string | undefined,
  ): readonly EntryEffect[] {
    const { group } = target;
    if (group === undefined) return [];
    const hasChanged = group.recordClosedByTarget(now);
    // If a newer observation shows the group as running, it has all its ranks.
    const isLost = lostPeer !== undefined && group.isClosed(now);
    if (isLost) this.#registry.groups.recordLost(lostPeer);
    const crashRecords = isLost
      ? this.#options.crashes.recordReportedLost(lostPeer, now)
      : [];
    if (!hasChanged) return crashRecords;
    const observation = {
      group: group.name,
      isOpen: false,
      ageMs: 0,
      lostPeer,
    };
    return [
      ...crashRecords,
      createGroupObservedRecord(observation, "attempt"),
    ];
  }
}
