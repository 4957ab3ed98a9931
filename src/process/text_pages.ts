/**
 * Pages of plain text by path, for balancers and those who read metrics.
 *
 * Not an application of the HTTP library: processes of which a fleet starts hundreds at
 * once serve nothing else, and what the library brings along (Node.js loads its own
 * `fetch` for it) takes 40 to 60 ms of processor time at each start.
 *
 * @module
 */
import type { IncomingMessage, RequestListener } from "node:http";

/** What is answered. */
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
 * Serves the pages.
 *
 * @example
 * ```ts
 * const handle = createTextPages({
 *   "/ready": () => ({ status: 200, text: "ready\n" }),
 * });
 * ```
 */
export function createTextPages(pages: TextPages): RequestListener {
  return (incoming, outgoing) => {
    void readPage(pages, incoming).then(({ status, text }) => {
      outgoing.writeHead(status, { "content-type": "text/plain" }).end(text);
    });
  };
}

async function readPage(
  pages: TextPages,
  { method, url = "/" }: IncomingMessage,
): Promise<TextPage> {
  const path = url.split("?", 1)[0] as string;
  const read = Object.hasOwn(pages, path) ? pages[path] : undefined;
  const isRead = method === "GET" || method === "HEAD";
  if (read === undefined || !isRead) return NOT_FOUND;
  try {
    return await read();
  } catch {
    // Whoever asked sees it; nothing else depends on a page.
    return FAILED;
  }
}
