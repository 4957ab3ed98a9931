/**
 * The pattern that these tests tell of: one request crashes each target that begins to
 * run it and comes again, while targets also end for other reasons, and connections break
 * although their targets live.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CrashingPool, type SentAttempt } from "../testing/crashing_pool.ts";

const TARGETS = 6;
/** Milliseconds between a crash and the word that the target is gone. */
const HEARD_AFTER_MS = 4000;
const POISON = "poison";

/** Sends it once more, and its target crashes; returns the attempt. */
function crash(pool: CrashingPool, body = POISON): SentAttempt {
  const sent = pool.send(body);
  pool.pass(100);
  pool.break(sent);
  pool.pass(HEARD_AFTER_MS);
  pool.replace(sent.target);
  return sent;
}

describe("a request that crashes targets", () => {
  it("is refused from the second crash on, as not run", () => {
    const pool = new CrashingPool(TARGETS);
    crash(pool);
    crash(pool);
    pool.arrive(POISON);
    assert.equal(pool.refusedFor, "CRASHES_TARGETS");
    assert.deepEqual(pool.sent, []);
    pool.answer(pool.send("another"));
  });

  it("is refused where another entry has seen it", () => {
    const [seen, told] = [new CrashingPool(TARGETS), new CrashingPool(TARGETS)];
    crash(seen);
    crash(seen);
    told.pass(seen.now);
    told.tell(seen.remembered);
    told.arrive(POISON);
    assert.equal(told.refusedFor, "CRASHES_TARGETS");
  });

  it("is refused at once when that is heard while it waits", () => {
    const [seen, told] = [new CrashingPool(TARGETS), new CrashingPool(1)];
    crash(seen);
    crash(seen);
    told.pass(seen.now);
    told.retire(told.targets[0] as string);
    told.entry.reduce({
      kind: "instances_listed",
      now: told.now,
      instances: [],
    });
    told.arrive(POISON);
    assert.deepEqual(told.sent, []);
    told.tell(seen.remembered);
    told.pass(1);
    assert.equal(told.refusedFor, "CRASHES_TARGETS");
  });

  it("is known as soon as another instance answers where a target was", () => {
    const pool = new CrashingPool(1, ["mostAttempts: 1"]);
    const sent = pool.send(POISON);
    const beside = pool.send("beside");
    pool.break(sent);
    assert.deepEqual(pool.remembered, []);
    pool.misdirect(beside);
    assert.equal(pool.remembered.length, 1);
  });

  it("ends one target an attempt, where it might run twice", () => {
    const pool = new CrashingPool(TARGETS, ["idempotentMethods: [POST]"]);
    const first = pool.send(POISON);
    pool.pass(100);
    pool.break(first);
    const [second] = pool.sent;
    assert.ok(
      second !== undefined,
      "It may run twice until a target has ended",
    );
    pool.leave(second);
    pool.replace(first.target);
    pool.break(pool.send(POISON));
    assert.deepEqual(pool.sent, []);
  });

  it("that targets fall silent under is refused, too", () => {
    const pool = new CrashingPool(TARGETS);
    for (const _ of [1, 2]) {
      const beside = pool.send("beside");
      pool.answer(beside);
      for (const target of pool.targets) answerAt(pool, target);
      const sent = pool.send(POISON);
      pool.pass(HEARD_AFTER_MS);
      pool.replace(sent.target);
      pool.leave(sent);
    }
    pool.arrive(POISON);
    assert.equal(pool.refusedFor, "CRASHES_TARGETS");
  });

  it("may run again when a minute has passed", () => {
    const pool = new CrashingPool(TARGETS);
    crash(pool);
    crash(pool);
    pool.pass(60_000);
    pool.send(POISON);
  });
});

/** Has a target answer something, so that it is known to live. */
function answerAt(pool: CrashingPool, target: string): void {
  pool.answer(sendTo(pool, target));
}

/** Sends others until one goes to a target; those before it are answered. */
function sendTo(pool: CrashingPool, target: string): SentAttempt {
  for (let tries = 0; tries < 200; tries++) {
    const sent = pool.send(`beside ${tries}`);
    if (sent.target === target) return sent;
    pool.answer(sent);
  }
  assert.fail(`Nothing was sent to ${target}`);
}

/** Sends it until it goes to another target; what goes to the same one waits there. */
function sendElsewhere(pool: CrashingPool, target: string): SentAttempt {
  const sent = pool.send(POISON);
  return sent.target === target ? sendElsewhere(pool, target) : sent;
}

interface InnocentRow {
  readonly name: string;
  /** Six unless given. */
  readonly targets?: number;
  readonly happen: (pool: CrashingPool) => void;
}

const INNOCENT: readonly InnocentRow[] = [
  {
    name: "whose connections break while the targets live",
    happen: (pool) => {
      for (let times = 0; times < 8; times++) {
        pool.break(pool.send(POISON));
        pool.pass(HEARD_AFTER_MS);
      }
    },
  },
  {
    name: "whose targets said that they leave",
    happen: (pool) => {
      for (let times = 0; times < 3; times++) {
        const sent = pool.send(POISON);
        pool.break(sent);
        pool.retire(sent.target);
      }
    },
  },
  {
    name: "whose targets had left when others answered in their place",
    targets: 1,
    happen: (pool) => {
      for (let times = 0; times < 3; times++) {
        const sent = pool.send(POISON);
        const beside = pool.send("beside");
        pool.startLeaving(sent.target);
        pool.break(sent);
        pool.misdirect(beside);
        pool.replace(sent.target);
      }
    },
  },
  {
    name: "that was at several targets when all were lost at once",
    happen: (pool) => {
      const sent = [1, 2, 3].map(() => pool.send(POISON));
      pool.pass(100);
      for (const one of sent) pool.break(one);
      pool.pass(HEARD_AFTER_MS);
      for (const target of pool.targets) pool.replace(target);
    },
  },
  {
    name: "that waited for two targets that had fallen silent at once",
    happen: (pool) => {
      for (const target of pool.targets) answerAt(pool, target);
      pool.pass(50);
      const first = pool.send(POISON);
      pool.pass(2000);
      pool.leave(first);
      const second = sendElsewhere(pool, first.target);
      pool.pass(2000);
      pool.leave(second);
      for (const { target } of [first, second]) pool.replace(target);
    },
  },
  {
    name: "that was answered in between",
    happen: (pool) => {
      crash(pool);
      pool.answer(pool.send(POISON));
      crash(pool);
    },
  },
  {
    name: "that ran beside one that crashes targets",
    happen: (pool) => {
      const beside = pool.send(POISON);
      for (let times = 0; times < 2; times++) {
        const sent = pool.send("the cause");
        pool.pass(100);
        pool.break(sent);
        if (sent.target === beside.target) pool.break(beside);
        pool.pass(HEARD_AFTER_MS);
        pool.replace(sent.target);
      }
    },
  },
];

describe("a request is sent on", () => {
  for (const { name, happen, targets = TARGETS } of INNOCENT) {
    it(name, () => {
      const pool = new CrashingPool(targets);
      happen(pool);
      pool.send(POISON);
    });
  }
});
