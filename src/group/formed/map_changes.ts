/**
 * Encodes the maps on a link between two processes: the first one in full, later ones as
 * the difference from the previous map with a checksum of the full map. With 64 ranks
 * and 12 layers a full map takes 6.2 KB. Sending it to every rank takes 388 KB, which
 * occupies a link of 4.2 Mbit/s for 0.74 s.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { ExpertMap } from "../../messages/group_types.ts";
import type {
  MapBaseMessage,
  MapChangeMessage,
  MapRows,
  PrepareOrder,
  RankOrderMessage,
} from "../../messages/formed_group_types.ts";

/** Encodes the maps sent on one link, which preserves the order of messages. */
export class MapEncoder {
  #lastMap: ExpertMap | undefined;

  /** Whether the peer has a map that later ones can be encoded against. */
  get hasBase(): boolean {
    return this.#lastMap !== undefined;
  }

  /** Encodes a map that is sent ahead of the first order, to make that order smaller. */
  encodeBase(map: ExpertMap): MapBaseMessage {
    this.#lastMap = map;
    return { kind: "map_base", map };
  }

  /**
   * Encodes an order to prepare a map as a difference if possible; returns other orders
   * unchanged.
   *
   * @example
   * ```ts
   * link.send(mapEncoder.encode(message));
   * ```
   */
  encode(message: RankOrderMessage): RankOrderMessage | MapChangeMessage {
    const { orderId, order } = message;
    if (order.kind !== "prepare") return message;
    const previous = this.#lastMap;
    this.#lastMap = order.map;
    if (previous === undefined) return message;
    const { epoch, version, map } = order;
    const rows = tryGetChangedRows(previous, map);
    if (rows === undefined) return message;
    const checksum = getChecksum(map);
    return { kind: "map_change", orderId, epoch, version, rows, checksum };
  }
}

/** Decodes the maps received on one link. */
export class MapDecoder {
  #lastMap: ExpertMap | undefined;

  /** Records a map that was received in full. */
  record(map: ExpertMap): void {
    this.#lastMap = map;
  }

  /**
   * Decodes an order to prepare a map. Returns undefined if the checksum of the result
   * does not match, so that no rank ever loads a map that differs from the other ranks'
   * one.
   */
  tryDecode(message: MapChangeMessage): RankOrderMessage | undefined {
    if (this.#lastMap === undefined) return undefined;
    const { orderId, epoch, version, rows, checksum } = message;
    const map = applyRows(this.#lastMap, rows);
    if (getChecksum(map) !== checksum) return undefined;
    this.#lastMap = map;
    const order: PrepareOrder = { kind: "prepare", epoch, version, map };
    return { kind: "rank_order", orderId, order };
  }
}

interface RowComparison {
  readonly before: ExpertMap;
  readonly after: ExpertMap;
  readonly rows: MapRows | undefined;
}

/**
 * Cache of the last comparison. It is reused for most ranks, since they have the same
 * base map.
 */
let lastComparison: RowComparison | undefined;

/** Returns undefined if a row cannot be derived from its dropped and gained experts. */
function tryGetChangedRows(
  before: ExpertMap,
  after: ExpertMap,
): MapRows | undefined {
  if (lastComparison?.before !== before || lastComparison.after !== after) {
    lastComparison = {
      before,
      after,
      rows: tryComputeChangedRows(before, after),
    };
  }
  return lastComparison.rows;
}

function tryComputeChangedRows(
  before: ExpertMap,
  after: ExpertMap,
): MapRows | undefined {
  const layers: number[] = [];
  const ranks: number[] = [];
  const dropped: (readonly number[])[] = [];
  const gained: (readonly number[])[] = [];
  for (const [layer, { experts }] of after.layers.entries()) {
    for (const [rank, row] of experts.entries()) {
      const previous = before.layers[layer]?.experts[rank] ?? [];
      if (isSameRow(previous, row)) continue;
      const removed = previous.filter((expert) => !row.includes(expert));
      const added = row.filter((expert) => !previous.includes(expert));
      if (!isSameRow(applyChange(previous, removed, added), row)) {
        return undefined;
      }
      layers.push(layer);
      ranks.push(rank);
      dropped.push(removed);
      gained.push(added);
    }
  }
  return { layers, ranks, dropped, gained };
}

function isSameRow(one: readonly number[], other: readonly number[]): boolean {
  return one.length === other.length &&
    one.every((expert, index) => expert === other[index]);
}

function applyChange(
  previous: readonly number[],
  dropped: readonly number[],
  gained: readonly number[],
): readonly number[] {
  return [...previous.filter((expert) => !dropped.includes(expert)), ...gained]
    .sort((left, right) => left - right);
}

function applyRows(map: ExpertMap, rows: MapRows): ExpertMap {
  const layers = map.layers.map(({ experts }) => ({ experts: [...experts] }));
  for (const [index, rank] of rows.ranks.entries()) {
    const experts = layers[rows.layers[index] ?? -1]?.experts;
    const previous = experts?.[rank];
    if (experts === undefined || previous === undefined) continue;
    const { dropped, gained } = rows;
    experts[rank] = applyChange(
      previous,
      dropped[index] ?? [],
      gained[index] ?? [],
    );
  }
  return { layers };
}

const checksums = new WeakMap<ExpertMap, string>();

/** Returns the checksum of a map, cached because one map is sent to all ranks. */
function getChecksum(map: ExpertMap): string {
  const cached = checksums.get(map);
  if (cached !== undefined) return cached;
  const rows = map.layers.map(({ experts }) => experts);
  const checksum = createHash("sha256")
    .update(JSON.stringify(rows))
    .digest("base64");
  checksums.set(map, checksum);
  return checksum;
}
