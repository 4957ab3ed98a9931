/**
 * What a target says to entries, gathered as effects of one event.
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

/** Why an attempt gets no answer. */
export interface Refusal {
  readonly reason: RefusalName;
  readonly isKeyed: boolean;
  /** What is known of this submission. */
  readonly submission: Outcome;
  /** What the back end said of itself. */
  readonly notice?: BackEndNotice;
}

/** What a target says to entries. */
export class TargetReplies {
  #effects: TargetEffect[] = [];

  /** Everything since the last time, in order. */
  takeEffects(): readonly TargetEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** One more effect. */
  push(effect: TargetEffect): void {
    this.#effects.push(effect);
  }

  /** Says something on one connection. */
  reply(linkId: number, message: Message): void {
    this.push({ kind: "reply", linkId, message });
  }

  /** Says something of a run, unless nobody waits for it. */
  replyToRun(run: Run, message: Message | undefined): void {
    if (message === undefined || run.isAbandoned) return;
    this.reply(run.owner.linkId, message);
  }

  /**
   * Of a key it is never said that it has not run: another submission of it may
   * run before the word arrives.
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

  /** Gives an answer that was kept. */
  replay(owner: RunOwner, answer: KeptAnswer, load: TargetLoad): void {
    const run = new Run({
      id: 0,
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
