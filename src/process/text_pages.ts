/**
 * Serves pages of plain text by path, for health checks and metrics.
 *
 * This does not use the HTTP library of the administration API: loading it (Node.js
 * then loads its own `fetch`) takes 40 to 60 ms of processor time, and a fleet may
 * start hundreds of processes at the same time that serve only these pages.
 *
 * @module
 */
import type { IncomingMessage, RequestListener } from "node:http";

/** Content of a page. */
export interface TextPage {
  readonly status: number;
  readonly text: string;
}

/** Pages by path. */
export type TextPages = Readonly<
  Record<string, () => TextPage | Promise<TextPage>>
>;

const NOT_FOUND: TextPage = { status: 404, text: "not found\n" };
const FAILED: TextPage = { status: 500, text: "failed\n" };

/**
 * Creates a request listener that serves the pages.
 *
 * @example
 * ```ts
 * const handle = createTextPages({
 *   "/ready": () => ({ status: 200, text: "ready\n" }),
 * });
 * ```
 */
export function createTextPages(pages: TextPages): RequestListener {
  const reading = new Map<string, Promise<TextPage>>();
  return (incoming, outgoing) => {
    void findPage(pages, incoming, reading).then(({ status, text }) => {
      outgoing.writeHead(status, { "content-type": "text/plain" }).end(text);
    });
  };
}

/** Finds a page; requests that arrive while it is made get the same text. */
async function findPage(
  pages: TextPages,
  { method, url = "/" }: IncomingMessage,
  reading: Map<string, Promise<TextPage>>,
): Promise<TextPage> {
  const path = url.split("?", 1)[0] as string;
  const read = Object.hasOwn(pages, path) ? pages[path] : undefined;
  const isReadMethod = method === "GET" || method === "HEAD";
  if (read === undefined || !isReadMethod) return NOT_FOUND;
  const page = reading.get(path) ?? readPage(read);
  reading.set(path, page);
  const result = await page;
  reading.delete(path);
  return result;
}

async function readPage(
  read: () => TextPage | Promise<TextPage>,
): Promise<TextPage> {
  try {
    return await read();
  } catch {
    // The client receives the status 500; nothing else depends on a page.
    return FAILED;
  }
}
