/**
 * Performs the effects of the entry's reducer and feeds it events.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { assertNever } from "../core/debug.ts";
import { RandomSource } from "../core/random_source.ts";
import type { EventLog } from "../events/event_log.ts";
import type { Link } from "../links/link.ts";
import { PeerBodySource } from "../links/peer_body_source.ts";
import type { LinkFault } from "../messages/codec.ts";
import {
  isSettingsMessage,
  type Message,
  type WelcomeMessage,
} from "../messages/types.ts";
import type { KeyValueService } from "../external/key_value_service.ts";
import { MachineListReader } from "../external/machine_list_reader.ts";
import type {
  VirtualMachine,
  VirtualMachineList,
} from "../external/virtual_machine_list.ts";
import { HttpListener } from "../process/http_listener.ts";
import { Metrics } from "../process/metrics.ts";
import type { EntryProcessSettings } from "../process/process_settings.ts";
import type { Drainable } from "../process/shutdown.ts";
import { createProblem } from "../refusals/problem.ts";
import type { SettingsSnapshot } from "../settings/snapshot.ts";
import { createAdministrationApplication } from "./administration.ts";
import { CallerConnection } from "./caller_connection.ts";
import { EntryReducer } from "./entry_reducer.ts";
import { EntrySettings } from "./entry_settings.ts";
import { RoutingTable } from "./routing_table.ts";
import { forwardToScripts } from "./scripts_forwarder.ts";
import { StatusCollector } from "./status_collector.ts";
import { TargetDialler, type TargetDiallerListener } from "./target_dialler.ts";
import type { EntryEffect, EntryEvent, ForwardToScripts } from "./types.ts";

const TICK_MS = 20;
/** Longest gap between two ticks that is not taken for a pause. */
const PAUSE_MS = 3000;
/** How long requests wait after a pause for settings to catch up. */
const CATCH_UP_LIMIT_MS = 2000;

/** What an entry's driver works with. */
export interface EntryDriverOptions {
  readonly settings: EntryProcessSettings;
  readonly incarnation: string;
  readonly keyValueService?: KeyValueService;
  readonly machineList?: VirtualMachineList;
  readonly log: EventLog;
  /** Seed of all random choices. */
  readonly seed: number;
}

interface CallerExchange {
  readonly connection: CallerConnection;
  readonly startedAt: number;
  /** Lets the HTTP handler return. */
  readonly close: () => void;
}

/** A running entry. */
export class EntryDriver implements Drainable, TargetDiallerListener {
  readonly #options: EntryDriverOptions;
  readonly #reducer: EntryReducer;
  readonly #exchanges = new Map<number, CallerExchange>();
  readonly #metrics: Metrics;
  readonly #callers: HttpListener;
  readonly #administration: HttpListener;
  readonly #settings: EntrySettings;
  readonly #status = new StatusCollector();
  #dialler: TargetDialler | undefined;
  #machineReader: MachineListReader | undefined;
  #machines: readonly VirtualMachine[] = [];
  #routes = new RoutingTable(new Map());
  #tick: NodeJS.Timeout | undefined;
  #tickedAt = performance.now();
  #catchUp: Promise<void> | undefined;
  #nextRequestId = 1;
  #isDraining = false;
  #onDrained: (() => void) | undefined;

  /** Does not listen yet. */
  constructor(options: EntryDriverOptions) {
    this.#options = options;
    this.#reducer = new EntryReducer({
      failureDomain: options.settings.failureDomain,
      random: new RandomSource(options.seed),
    });
    this.#settings = new EntrySettings({
      keyValueService: options.keyValueService,
      peers: new PeerBodySource(),
      log: options.log,
      onSnapshot: (snapshot) => this.#onSnapshot(snapshot),
    });
    this.#metrics = new Metrics(() => ({
      inFlight: this.inFlight,
      queued: 0,
      settingsRevision: this.#settings.keeper.revision,
      olderOffers: this.#settings.keeper.olderOffers,
    }));
    this.#callers = new HttpListener(this.#createCallerApplication());
    this.#administration = new HttpListener(
      createAdministrationApplication({
        processName: options.settings.name,
        administratorTokenSha256: options.settings.administratorTokenSha256,
        settings: this.#settings,
        metrics: this.#metrics,
        isReady: () => this.#isReady(),
        readStatus: () => this.#readStatus(),
      }),
    );
  }

  /** Requests on their way. */
  get inFlight(): number {
    return this.#reducer.inFlight;
  }

  /**
   * Listens, dials targets and follows the settings.
   *
   * @throws when an address cannot be had
   */
  async start(): Promise<void> {
    const { settings, incarnation, log } = this.#options;
    await this.#administration.listen(settings.administrationAddress);
    await this.#callers.listen(settings.callerAddress);
    this.#settings.start();
    this.#dialler = new TargetDialler({
      identity: { ...settings, incarnation },
      fixedAddresses: settings.targets,
      subset: {
        entryName: settings.name,
        failureDomain: settings.failureDomain,
        limit: settings.targetsInView,
      },
      listener: this,
      log,
    });
    this.#startMachineReader();
    this.#tick = setInterval(() => this.#onTick(), TICK_MS);
    log.write("STARTED", {
      callers: settings.callerAddress,
      administration: settings.administrationAddress,
      incarnation,
    });
  }

  drain(onDrained: () => void): void {
    this.#isDraining = true;
    this.#onDrained = onDrained;
    this.#callers.stopListening();
    this.#dispatch({ kind: "drain_requested", now: performance.now() });
  }

  async close(): Promise<void> {
    clearInterval(this.#tick);
    this.#settings.stop();
    this.#machineReader?.stop();
    this.#dialler?.stop();
    this.#callers.close();
    this.#administration.close();
    await Promise.resolve();
  }

  onTarget(link: Link, welcome: WelcomeMessage): void {
    this.#settings.exchange.addLink(link);
    this.#dispatch({
      kind: "target_connected",
      now: performance.now(),
      target: welcome,
    });
  }

  onTargetMessage(targetName: string, message: Message): void {
    const link = this.#dialler?.tryLink(targetName);
    if (isSettingsMessage(message)) {
      if (link !== undefined) this.#settings.exchange.receive(link, message);
      return;
    }
    if (message.kind === "status") {
      return this.#status.receive(targetName, message);
    }
    this.#dispatch({
      kind: "message_received",
      now: performance.now(),
      targetName,
      message,
    });
  }

  onTargetLost(targetName: string, link: Link): void {
    this.#settings.exchange.removeLink(link);
    this.#dispatch({
      kind: "target_disconnected",
      now: performance.now(),
      targetName,
    });
  }

  onLinkFault(fault: LinkFault): void {
    this.#metrics.countLinkFault(fault);
    this.#options.log.write("LINK_FAULT", { fault });
  }

  #onSnapshot(snapshot: SettingsSnapshot): void {
    const { changed, documents } = snapshot;
    const routes = changed === undefined
      ? new RoutingTable(documents)
      : this.#routes;
    this.#routes = routes;
    const changedServices = changed && routes.refresh(changed, documents);
    this.#dispatch({
      kind: "settings_in_force",
      now: performance.now(),
      routes,
      changed: changedServices,
      leavingTargets: routes.leavingTargets,
    });
  }

  #startMachineReader(): void {
    const { machineList, log } = this.#options;
    if (machineList === undefined) return;
    this.#machineReader = new MachineListReader({
      list: machineList,
      onList: (machines) => {
        this.#machines = machines;
        this.#dialler?.setMachines(machines);
        this.#dispatch({
          kind: "machines_listed",
          now: performance.now(),
          machines,
        });
      },
      onReachable: (isReachable) =>
        log.write(isReachable ? "PLATFORM_REACHED" : "PLATFORM_UNREACHABLE", {
          service: "machine list",
        }),
    });
  }

  #onTick(): void {
    const now = performance.now();
    const gap = now - this.#tickedAt;
    this.#tickedAt = now;
    if (gap > PAUSE_MS) this.#startCatchUp(gap);
    this.#dispatch({ kind: "tick", now });
  }

  /** Settings may have moved on while we stood still. */
  #startCatchUp(gap: number): void {
    this.#options.log.write("PAUSED", { milliseconds: Math.round(gap) });
    const limit = new Promise<void>((resolve) => {
      setTimeout(resolve, CATCH_UP_LIMIT_MS);
    });
    this.#catchUp = Promise.race([this.#settings.refresh(), limit])
      .finally(() => this.#catchUp = undefined);
  }

  #createCallerApplication(): Hono<{ Bindings: HttpBindings }> {
    const app = new Hono<{ Bindings: HttpBindings }>();
    app.all("*", async (context) => {
      const { incoming, outgoing } = context.env;
      await this.#serve(
        new CallerConnection(
          incoming as import("node:http").IncomingMessage,
          outgoing as import("node:http").ServerResponse,
        ),
      );
      return RESPONSE_ALREADY_SENT;
    });
    return app;
  }

  async #serve(connection: CallerConnection): Promise<void> {
    const id = this.#nextRequestId++;
    this.#metrics.countRequest();
    const request = await connection.read(id);
    if (request.isErr()) {
      this.#metrics.countRefusal(request.error);
      connection.refuse(
        createProblem(request.error, {
          outcome: connection.isKeyed ? "unknown" : "not-run",
          submission: "not-run",
        }),
      );
      return;
    }
    if (performance.now() - this.#tickedAt > PAUSE_MS) this.#onTick();
    await this.#catchUp;
    if (connection.isGone) return;
    await new Promise<void>((close) => {
      const startedAt = performance.now();
      this.#exchanges.set(id, { connection, startedAt, close });
      connection.onGone(() => this.#onCallerGone(id));
      this.#dispatch({
        kind: "request_arrived",
        now: startedAt,
        request: request.value,
      });
    });
  }

  #onCallerGone(requestId: number): void {
    if (!this.#exchanges.has(requestId)) return;
    this.#finish(requestId);
    this.#dispatch({
      kind: "caller_gone",
      now: performance.now(),
      requestId,
    });
  }

  #dispatch(event: EntryEvent): void {
    for (const effect of this.#reducer.reduce(event)) this.#perform(effect);
  }

  #perform(effect: EntryEffect): void {
    switch (effect.kind) {
      case "send":
        this.#dialler?.tryLink(effect.targetName)?.send(effect.message);
        return;
      case "forward_to_scripts":
        return void this.#forward(effect);
      case "start_answer":
        this.#exchanges.get(effect.requestId)?.connection
          .start(effect.status, effect.headers);
        return;
      case "continue_answer":
        return this.#continueAnswer(effect.requestId, effect.bytes);
      case "finish_answer":
        this.#exchanges.get(effect.requestId)?.connection.finish();
        return this.#answered(effect.requestId);
      case "whole_answer":
        this.#exchanges.get(effect.requestId)?.connection
          .sendWhole(effect.status, effect.headers, effect.body);
        return this.#answered(effect.requestId);
      case "cut_answer":
        return this.#cut(effect.requestId);
      case "refuse_request":
        this.#exchanges.get(effect.requestId)?.connection
          .refuse(effect.problem);
        return this.#finish(effect.requestId);
      case "count_refusal":
        return this.#metrics.countRefusal(effect.reason);
      case "count_retry":
        return this.#metrics.countRetry(effect.reason);
      case "count_stale_message":
        return this.#metrics.countStale();
      case "drained":
        return this.#onDrained?.();
      default:
        assertNever(effect);
    }
  }

  async #forward(effect: ForwardToScripts): Promise<void> {
    const { id } = effect.request;
    const exchange = this.#exchanges.get(id);
    if (exchange === undefined) return;
    await forwardToScripts(effect, exchange.connection);
    this.#finish(id);
    this.#dispatch({
      kind: "scripts_finished",
      now: performance.now(),
      requestId: id,
    });
  }

  #continueAnswer(requestId: number, bytes: Uint8Array): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange === undefined || exchange.connection.write(bytes)) return;
    // Not from within the reducer's own effects.
    setImmediate(() =>
      this.#dispatch({
        kind: "caller_too_slow",
        now: performance.now(),
        requestId,
      })
    );
  }

  #answered(requestId: number): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange === undefined) return;
    this.#metrics.countAnswer(performance.now() - exchange.startedAt);
    this.#finish(requestId);
  }

  #cut(requestId: number): void {
    const exchange = this.#exchanges.get(requestId);
    this.#finish(requestId);
    exchange?.connection.cut();
  }

  #finish(requestId: number): void {
    const exchange = this.#exchanges.get(requestId);
    this.#exchanges.delete(requestId);
    exchange?.close();
  }

  #isReady(): boolean {
    return !this.#isDraining && this.#settings.keeper.snapshot !== undefined;
  }

  async #readStatus() {
    const asked = [...this.#reducer.registry.all()].map((target) => ({
      name: target.name,
      link: this.#dialler?.tryLink(target.name),
    }));
    const targets = await this.#status.collect(asked, this.#machines);
    return {
      process: this.#options.settings.name,
      revision: this.#settings.keeper.revision,
      draining: this.#isDraining,
      inFlight: this.inFlight,
      unreadable: this.#settings.keeper.snapshot?.unreadable ?? [],
      targets,
      entries: this.#machines
        .filter((machine) => machine.role === "entry")
        .map((machine) => ({ name: machine.name, address: machine.address })),
    };
  }
}
