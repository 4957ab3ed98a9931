/**
 * Takes in what lists, deciders, ranks and the targets themselves tell of targets, and
 * returns what of it is news for the log and for other entries.
 *
 * @module
 */
import type { Message, RefusedMessage } from "../messages/types.ts";
import type { TargetLimits } from "../policy/target_limits.ts";
import type { CrashWatch } from "./crash_watch.ts";
import {
  createGroupNote,
  createReachNote,
  createTargetEndedNote,
} from "./decision_notes.ts";
import { isTargetsFault } from "./failures.ts";
import type { TargetRecord } from "./target_record.ts";
import type { TargetRegistry } from "./target_registry.ts";
import type { TargetSelection } from "./target_selection.ts";
import type {
  EntryEffect,
  GroupLoadTold,
  GroupSeen,
  InstancesListed,
} from "./types.ts";
import type { WarmUpWatch } from "./warm_up_watch.ts";

/** A target, and when something was heard of it in milliseconds. */
export interface TargetMoment {
  readonly target: TargetRecord;
  /** When the attempt was sent that it concerns, in milliseconds. */
  readonly sentAt?: number;
  readonly now: number;
}

/** What {@link TargetNews} works with. */
export interface TargetNewsOptions {
  readonly selection: TargetSelection;
  readonly crashes: CrashWatch;
  readonly limits: TargetLimits;
  readonly warmUp: WarmUpWatch;
}

/** Takes in what is told of targets. */
export class TargetNews {
  readonly #options: TargetNewsOptions;

  /** Has heard nothing yet. */
  constructor(options: TargetNewsOptions) {
    this.#options = options;
  }

  /** The back ends that are called directly were listed. */
  noteListed(event: InstancesListed): readonly EntryEffect[] {
    const { instances, now } = event;
    const { selection, limits, warmUp } = this.#options;
    const listed = new Set(instances.map(({ id }) => id));
    limits.setListed(listed, now);
    this.#registry.leaving.setListed(listed, now);
    const warmUpNotes = warmUp.noteListed(event);
    selection.availability.permits.forgetUnlimited();
    const ended = selection.setInstances(instances, now).flatMap((target) => [
      createTargetEndedNote(target),
      ...this.#noteGone({ target, now }),
    ]);
    return [...warmUpNotes, ...ended];
  }

  /** A group's decider told how its ranks stand. */
  noteGroupLoad({ load, now }: GroupLoadTold): readonly EntryEffect[] {
    const hasChanged = this.#registry.setGroupLoad(load, now);
    return hasChanged ? [createGroupNote(load, "decider")] : [];
  }

  /** A rank's process told whether its group runs. */
  noteGroupSeen({ sight, now }: GroupSeen): readonly EntryEffect[] {
    const { group, isOpen, ageMs } = sight;
    const seenAt = now - ageMs;
    const hasChanged = this.#registry.groups.see(group, { isOpen, seenAt });
    return hasChanged ? [createGroupNote(sight, "rank")] : [];
  }

  /** A target told something that belongs to no attempt. */
  noteWord(message: Message, { target, now }: TargetMoment): void {
    switch (message.kind) {
      case "report":
        return target.setReportedLoad(message.queued + message.running, now);
      case "leaving":
        return target.setLeaving(true);
      case "serving":
        return target.setLeaving(false);
      case "claims":
        return this.#registry.setClaims(target, message);
      default:
        return;
    }
  }

  /** A target began to answer an attempt. */
  noteReached(target: TargetRecord): readonly EntryEffect[] {
    const { reachability } = this.#options.selection.availability;
    return reachability.noteReached(target)
      ? [createReachNote(target, true)]
      : [];
  }

  /** A target gave an attempt no answer, and perhaps said why. */
  noteRefused(
    message: RefusedMessage,
    at: TargetMoment,
  ): readonly EntryEffect[] {
    return [
      ...this.#noteContact(message, at),
      ...this.#noteRefusal(message, at),
    ];
  }

  /** Whether the target could be connected to; other failures say nothing of that. */
  #noteContact(
    { reason, submission }: RefusedMessage,
    { target, now, sentAt = now }: TargetMoment,
  ): readonly EntryEffect[] {
    if (reason === "BACK_END_UNREACHABLE") {
      const { reachability } = this.#options.selection.availability;
      return reachability.noteFailed(target, { tookMs: now - sentAt, now })
        ? [createReachNote(target, false)]
        : [];
    }
    return submission === "not-run" ? this.noteReached(target) : [];
  }

  #noteRefusal(
    { reason, submission, keptMs, lostPeer, notice }: RefusedMessage,
    at: TargetMoment,
  ): readonly EntryEffect[] {
    const { target, now } = at;
    // A backoff itself says for how long the target gets nothing.
    if (notice?.backoff.kind !== "backoff") {
      target.countAttempt(isTargetsFault(reason), now);
    }
    if (submission === "unknown") target.forgetConnections();
    else target.noteConnection(keptMs, now);
    switch (reason) {
      case "TARGET_LEAVING":
        target.setLeaving(true);
        return [];
      case "WRONG_INSTANCE":
        target.setLeaving(true);
        return target.isListedLeaving ? [] : this.#noteGone(at);
      case "GROUP_CLOSED":
        return this.#noteGroupClosed(at, lostPeer);
      default:
        return [];
    }
  }

  get #registry(): TargetRegistry {
    return this.#options.selection.registry;
  }

  /** A target is gone without a word that it leaves. */
  #noteGone({ target, now }: TargetMoment): readonly EntryEffect[] {
    return this.#options.crashes.noteGone(target.name, now);
  }

  /** A target said that another rank of its group is gone, and perhaps which. */
  #noteGroupClosed(
    { target, now }: TargetMoment,
    lostPeer: string | undefined,
  ): readonly EntryEffect[] {
    const { group } = target;
    if (group === undefined) return [];
    const hasChanged = group.seeLostByServer(now);
    // A group that was seen to run since has all its ranks.
    if (lostPeer !== undefined && group.isClosed(now)) {
      this.#registry.groups.noteLost(lostPeer);
    }
    if (!hasChanged) return [];
    const sight = { group: group.name, isOpen: false, ageMs: 0, lostPeer };
    return [createGroupNote(sight, "attempt")];
  }
}
