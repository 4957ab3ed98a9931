/**
 * Collects a target's messages to entries as effects of one event.
 *
 * @module
 */
import type { BackEndNotice } from "../messages/back_end_notice.ts";
import type { Message, RefusedMessage } from "../messages/types.ts";
import type { RefusalName } from "../refusals/catalogue.ts";
import type { Outcome } from "../refusals/types.ts";
import type { KeptAnswer } from "./key_ledger.ts";
import { Run, type RunOwner, type TargetLoad } from "./run.ts";
import type { TargetEffect } from "./types.ts";

/** Refusal of an attempt. */
export interface Refusal {
  readonly reason: RefusalName;
  readonly isKeyed: boolean;
  /** What is known about this submission. */
  readonly submission: Outcome;
  /** Notice of the back end. */
  readonly notice?: BackEndNotice;
}

/** Collects the effects of one event. */
export class TargetReplies {
  #effects: TargetEffect[] = [];

  /** Returns and removes the effects added since the previous call, in order. */
  takeEffects(): readonly TargetEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Adds an effect. */
  push(effect: TargetEffect): void {
    this.#effects.push(effect);
  }

  /** Adds a message on one connection. */
  reply(linkId: number, message: Message): void {
    this.push({ kind: "reply", linkId, message });
  }

  /** Adds a message about a run, unless no entry waits for it any longer. */
  replyToRun(run: Run, message: Message | undefined): void {
    if (message === undefined || run.isAbandoned) return;
    this.reply(run.owner.linkId, message);
  }

  /**
   * Refuses an attempt. The outcome of a keyed request is always `unknown`, since another
   * submission of its key may run before the refusal arrives.
   */
  refuse(owner: RunOwner, refusal: Refusal): void {
    const { linkId, ...attempt } = owner;
    const { reason, isKeyed, submission, notice } = refusal;
    const message: RefusedMessage = {
      kind: "refused",
      ...attempt,
      reason,
      outcome: isKeyed ? "unknown" : submission,
      submission,
      notice,
    };
    this.push({ kind: "count_refusal", reason });
    this.reply(linkId, message);
  }

  /** Replays a retained answer. */
  replay(owner: RunOwner, answer: KeptAnswer, load: TargetLoad): void {
    const run = new Run({
      id: 0,
      service: "",
      owner,
      startedAt: 0,
      keptAnswerBytes: 0,
      gatherMs: 0,
    });
    this.replyToRun(run, run.createHead(answer));
    if (answer.body.length > 0) {
      this.replyToRun(run, run.addData(answer.body, 0));
    }
    this.replyToRun(run, run.createEnd(load));
  }
}
