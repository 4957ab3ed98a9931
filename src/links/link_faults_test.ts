import assert from "node:assert/strict";
import { once } from "node:events";
import { after, before, describe, it } from "node:test";
import { Packr } from "msgpackr";
import { WebSocket } from "ws";
import { LINK_FAULT_CODES, type LinkFault } from "../messages/codec.ts";
import { EventLog } from "../events/event_log.ts";
import { createProof } from "../messages/handshake.ts";
import type { Message, WelcomeMessage } from "../messages/types.ts";
import { HttpListener } from "../process/http_listener.ts";
import { findFreeAddress } from "../testing/free_address.ts";
import { waitUntil } from "../testing/process_cluster.ts";
import type { Link } from "./link.ts";
import { LinkClient } from "./link_client.ts";
import { LINK_PATH, type LinkIdentity, LinkServer } from "./link_server.ts";
import type { SocketAddress } from "../messages/socket_address.ts";

const log = new EventLog({ role: "target", processName: "test" });
const PACKER = new Packr({ useRecords: false });
const IDENTITY: LinkIdentity = {
  deployment: "test",
  secret: "the-secret-of-the-deployment",
  name: "target-1",
  incarnation: "1",
  failureDomain: "a",
};

interface Challenge {
  readonly nonce: string;
}

function createHello(
  challenge: Challenge,
  changes: Readonly<Record<string, unknown>> = {},
  secret = IDENTITY.secret,
) {
  const hello = {
    kind: "hello",
    protocol: 1,
    deployment: "test",
    role: "entry",
    name: "entry-1",
    incarnation: "1",
    failureDomain: "a",
    nonce: "our-nonce",
    ...changes,
  };
  const proof = createProof({
    secret,
    side: "dialling",
    deployment: hello.deployment,
    name: hello.name,
    incarnation: hello.incarnation,
    nonces: [challenge.nonce, hello.nonce],
  });
  return { ...hello, proof };
}

/** Encodes a frame with one message. */
function frame(message: unknown): Uint8Array {
  return PACKER.pack([message]);
}

interface FaultRow {
  readonly name: string;
  /** Data sent after the challenge, and after the welcome. */
  readonly first: (challenge: Challenge) => Uint8Array | string;
  readonly second?: Uint8Array | string;
  readonly fault: LinkFault | "TOO_LARGE";
}

const FAULT_ROWS: readonly FaultRow[] = [
  {
    name: "text instead of bytes",
    first: () => "hello",
    fault: "UNREADABLE_FRAME",
  },
  {
    name: "bytes that are not a frame",
    first: () => new Uint8Array([0xc1, 0xff, 0x00]),
    fault: "UNREADABLE_FRAME",
  },
  {
    name: "a truncated frame",
    first: (challenge) => frame(createHello(challenge)).subarray(0, 40),
    fault: "UNREADABLE_FRAME",
  },
  {
    name: "a frame that is not a list",
    first: () => PACKER.pack({ kind: "hello" }),
    fault: "UNREADABLE_FRAME",
  },
  {
    name: "a message of an unknown kind",
    first: () => frame({ kind: "obey" }),
    fault: "UNKNOWN_MESSAGE",
  },
  {
    name: "a message with a field of another type",
    first: (challenge) => frame(createHello(challenge, { protocol: "1" })),
    fault: "UNKNOWN_MESSAGE",
  },
  {
    name: "another protocol version",
    first: (challenge) => frame(createHello(challenge, { protocol: 2 })),
    fault: "WRONG_PROTOCOL",
  },
  {
    name: "another deployment",
    first: (challenge) =>
      frame(createHello(challenge, { deployment: "other" })),
    fault: "WRONG_DEPLOYMENT",
  },
  {
    name: "another secret",
    first: (challenge) => frame(createHello(challenge, {}, "another-secret")),
    fault: "WRONG_PROOF",
  },
  {
    name: "a proof from another connection",
    first: () => frame(createHello({ nonce: "of-another-connection" })),
    fault: "WRONG_PROOF",
  },
  {
    name: "a request before the proof",
    first: () => frame({ kind: "cancel", requestId: 1, attempt: 1 }),
    fault: "UNEXPECTED_MESSAGE",
  },
  {
    name: "a bad message after the proof",
    first: (challenge) => frame(createHello(challenge)),
    second: frame({ kind: "submit" }),
    fault: "UNKNOWN_MESSAGE",
  },
  {
    name: "a frame over the size limit",
    first: (challenge) => frame(createHello(challenge)),
    second: new Uint8Array(17 * 1024 * 1024),
    fault: "TOO_LARGE",
  },
];

/** Close code of the WebSocket protocol for frames over the limit. */
const TOO_LARGE_CODE = 1009;

describe("connections between processes of a deployment", () => {
  let listener: HttpListener;
  let address: SocketAddress;
  let received: Message[];
  let healthyClient: LinkClient;
  let healthyLink: Link;
  let isHealthyOpen = false;

  before(async () => {
    listener = new HttpListener();
    address = await findFreeAddress();
    received = [];
    new LinkServer(listener.server, {
      identity: IDENTITY,
      welcome: { pool: "plan", concurrency: 1 },
      log,
      listener: {
        onPeer: () => ({
          onMessage: (message) => received.push(message),
          onClose: () => undefined,
        }),
        onRejected: () => undefined,
      },
    });
    await listener.listen(address);
    await new Promise<WelcomeMessage>((resolve) => {
      healthyClient = new LinkClient({
        address,
        role: "entry",
        identity: { ...IDENTITY, name: "good" },
        log,
        listener: {
          onConnected: (link, welcome) => {
            healthyLink = link;
            isHealthyOpen = true;
            resolve(welcome);
          },
          onMessage: () => undefined,
          onDisconnected: () => isHealthyOpen = false,
          onDialFailed: () => undefined,
        },
      });
    });
  });

  after(() => {
    healthyClient.stop();
    listener.close();
  });

  for (const row of FAULT_ROWS) {
    it(`closes with a code and affects no other connection: ${row.name}`, async () => {
      received.length = 0;
      const socket = new WebSocket(`ws://${address}${LINK_PATH}`);
      const closed = once(socket, "close");
      const [challengeFrame] = await once(socket, "message");
      const [challenge] = PACKER.unpack(challengeFrame);
      socket.send(row.first(challenge));
      if (row.second !== undefined) {
        await once(socket, "message");
        socket.send(row.second);
      }
      const [code] = await closed;
      const expected = row.fault === "TOO_LARGE"
        ? TOO_LARGE_CODE
        : LINK_FAULT_CODES[row.fault];
      assert.equal(code, expected);
      assert.deepEqual(received, []);
      assert.ok(isHealthyOpen, "Another connection was closed");
      healthyLink.send({ kind: "status_request" });
      while (received.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      assert.deepEqual(received, [{ kind: "status_request" }]);
    });
  }

  it("rejects a process that cannot authenticate itself", async () => {
    const answers: string[] = [];
    const rejectedClient = new LinkClient({
      address,
      role: "entry",
      identity: { ...IDENTITY, secret: "another-secret-than-ours" },
      log,
      listener: {
        onConnected: () => answers.push("connected"),
        onMessage: () => undefined,
        onDisconnected: () => undefined,
        onDialFailed: () => answers.push("rejected"),
      },
    });
    while (answers.length === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    rejectedClient.stop();
    assert.deepEqual(answers, ["rejected"]);
  });
});

/** Guards against a process that ends because it cannot handle one message of a peer. */
describe("an exception while a message or the end of a link is handled", () => {
  const faultLog = new EventLog({ role: "target", processName: "test" });
  const listener = new HttpListener();
  const received: string[] = [];
  let connections = 0;
  let client: LinkClient;
  let serverLink: Link | undefined;
  let clientLink: Link | undefined;

  before(async () => {
    new LinkServer(listener.server, {
      identity: IDENTITY,
      welcome: { pool: "plan", concurrency: 1 },
      log: faultLog,
      listener: {
        onPeer: (link) => {
          serverLink = link;
          return {
            onMessage: ({ kind }) => {
              if (kind === "status_request") throw new TypeError("unexpected");
              received.push(kind);
            },
            onClose: () => undefined,
          };
        },
        onRejected: () => undefined,
      },
    });
    const address = await findFreeAddress();
    await listener.listen(address);
    client = new LinkClient({
      address,
      role: "entry",
      identity: { ...IDENTITY, name: "peer" },
      log: faultLog,
      listener: {
        onConnected: (link) => {
          clientLink = link;
          connections++;
        },
        onMessage: () => undefined,
        onDisconnected: () => {
          throw new TypeError("unexpected");
        },
        onDialFailed: () => undefined,
      },
    });
    await waitUntil("it is connected", () => connections === 1);
  });
  after(() => {
    client.stop();
    listener.close();
  });

  it("is logged, and the link carries the messages that follow", async () => {
    clientLink?.send({ kind: "status_request" });
    clientLink?.send({ kind: "rank_load_request" });
    await waitUntil("both arrived", () => received.length > 0);
    assert.deepEqual(received, ["rank_load_request"]);
    assert.equal(faultLog.counts.get("INTERNAL_FAULT"), 1);
  });

  it("is logged, and the link is dialled again", async () => {
    serverLink?.close();
    await waitUntil("it is connected again", () => connections === 2);
    assert.equal(faultLog.counts.get("INTERNAL_FAULT"), 2);
  });
});
