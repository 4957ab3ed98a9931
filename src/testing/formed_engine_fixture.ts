/**
 * A fake engine of a formed group, reached as processes reach the real one.
 *
 * @module
 */
import { FormedEngine } from "../external/formed_engine.ts";
import type {
  EngineOrder,
  ExpertCounts,
  OrderOutcome,
  RankExperts,
  RankState,
} from "../messages/formed_group_types.ts";
import { FakeFormedEngine } from "./fake_formed_engine.ts";

/** Experts of the one layer that each rank of the fake group holds. */
const EXPERTS_PER_RANK = 1;

/** An engine that carries out each order at once, and copies maps in no time. */
export class FormedEngineFixture extends FormedEngine {
  readonly fake: FakeFormedEngine;
  readonly given: EngineOrder[] = [];
  /** Orders from now on that are not answered, and not carried out for the time being. */
  unanswered = 0;
  /** Looks at the engine's state. */
  looks = 0;
  readonly #rank: number;
  readonly #ranks: number;

  /** An engine of a group that has just been formed. */
  constructor(rank: number, ranks: number) {
    super();
    this.#rank = rank;
    this.#ranks = ranks;
    this.fake = new FakeFormedEngine(rank, ranks);
  }

  override tryReadState(): Promise<RankState | undefined> {
    this.looks++;
    return Promise.resolve(this.fake.state);
  }

  override readCounts(): Promise<ExpertCounts> {
    const experts = this.#ranks * EXPERTS_PER_RANK;
    return Promise.resolve([new Array<number>(experts).fill(0)]);
  }

  override readExperts(): Promise<RankExperts> {
    return Promise.resolve([[this.#rank]]);
  }

  override sendOrder(order: EngineOrder): Promise<OrderOutcome> {
    this.given.push(order);
    if (this.unanswered > 0) {
      this.unanswered--;
      return Promise.resolve("unanswered");
    }
    const isAccepted = this.fake.carryOut(order);
    if (isAccepted && order.kind === "prepare") {
      this.fake.finishLoading(order.version);
    }
    return Promise.resolve(isAccepted ? "accepted" : "rejected");
  }
}
