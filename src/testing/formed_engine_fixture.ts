/**
 * Provides a fake engine of a formed group behind the interface through which processes
 * reach a real engine.
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

/** Experts that each rank of the fake group holds in its only layer. */
const EXPERTS_PER_RANK = 1;

/** An engine that executes each order immediately and loads maps without delay. */
export class FormedEngineFixture extends FormedEngine {
  readonly fake: FakeFormedEngine;
  readonly receivedOrders: EngineOrder[] = [];
  /** Number of the next orders that are neither executed nor answered. */
  unansweredOrders = 0;
  /** Number of reads of the engine's state. */
  stateReads = 0;
  readonly #rank: number;
  readonly #ranks: number;

  /** Creates an engine of a group that has just been formed. */
  constructor(rank: number, ranks: number) {
    super();
    this.#rank = rank;
    this.#ranks = ranks;
    this.fake = new FakeFormedEngine(rank, ranks);
  }

  override tryReadState(): Promise<RankState | undefined> {
    this.stateReads++;
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
    this.receivedOrders.push(order);
    if (this.unansweredOrders > 0) {
      this.unansweredOrders--;
      return Promise.resolve("unanswered");
    }
    const isAccepted = this.fake.execute(order);
    if (isAccepted && order.kind === "prepare") {
      this.fake.finishLoading(order.version);
    }
    return Promise.resolve(isAccepted ? "accepted" : "rejected");
  }
}
