/**
 * Runs an entry: connects its reducer to callers, targets, settings and the list of VMs.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { RandomSource } from "../core/random_source.ts";
import type { EventLog } from "../events/event_log.ts";
import { logInternalFault } from "../events/internal_faults.ts";
import type { Link } from "../links/link.ts";
import { PeerBodySource } from "../settings/peer_body_source.ts";
import type { LinkFault } from "../messages/codec.ts";
import {
  isSettingsMessage,
  type Message,
  type WelcomeMessage,
} from "../messages/types.ts";
import type { KeyValueService } from "../external/key_value_service.ts";
import { VirtualMachineListReader } from "../external/virtual_machine_list_reader.ts";
import type {
  VirtualMachine,
  VirtualMachineList,
} from "../external/virtual_machine_list.ts";
import { createHonoListener } from "../process/hono_listener.ts";
import type { HttpListener } from "../process/http_listener.ts";
import { Metrics } from "../process/metrics.ts";
import type { EntryProcessSettings } from "../process/process_settings.ts";
import type { Drainable } from "../process/shutdown.ts";
import type { SettingsSnapshot } from "../settings/snapshot.ts";
import { createAdministrationApplication } from "./administration.ts";
import { OwnCallerProtocol } from "./caller_protocol.ts";
import { EntryReducer } from "./entry_reducer.ts";
import { EntrySettings } from "./entry_settings.ts";
import { RequestServer } from "./request_server.ts";
import { RoutingTable } from "./routing_table.ts";
import { StatusCollector } from "./status_collector.ts";
import { TargetDialler, type TargetDiallerListener } from "./target_dialler.ts";

/** Milliseconds for which requests wait for new settings after the process stalled. */
const CATCH_UP_TIMEOUT_MS = 2000;

/** Options of an {@link EntryDriver}. */
export interface EntryDriverOptions {
  readonly settings: EntryProcessSettings;
  readonly incarnation: string;
  readonly keyValueService?: KeyValueService;
  readonly machineList?: VirtualMachineList;
  readonly log: EventLog;
  /** Seed of all random choices. */
  readonly seed: number;
}

/** A running entry. */
export class EntryDriver implements Drainable, TargetDiallerListener {
  readonly #options: EntryDriverOptions;
  readonly #reducer: EntryReducer;
  readonly #metrics: Metrics;
  readonly #server: RequestServer;
  readonly #administration: HttpListener;
  readonly #settings: EntrySettings;
  readonly #status = new StatusCollector();
  #dialler: TargetDialler | undefined;
  #virtualMachineReader: VirtualMachineListReader | undefined;
  #virtualMachines: readonly VirtualMachine[] = [];
  #routes = new RoutingTable(new Map());
  #isDraining = false;

  /** Creates a driver; {@link start} starts to listen. */
  constructor(options: EntryDriverOptions) {
    this.#options = options;
    this.#reducer = new EntryReducer({
      failureDomain: options.settings.failureDomain,
      digestKey: options.settings.secret,
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
    }), options.log);
    this.#server = new RequestServer({
      reducer: this.#reducer,
      protocol: new OwnCallerProtocol(),
      metrics: this.#metrics,
      log: options.log,
      heldBytesLimit: options.settings.heldBytesLimit,
      onStalled: () => this.#catchUp(),
    });
    this.#administration = createHonoListener(
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

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#reducer.inFlight;
  }

  /**
   * Starts to listen, to connect to targets and to watch the settings.
   *
   * @throws if an address cannot be bound
   */
  async start(): Promise<void> {
    const { settings, incarnation, log } = this.#options;
    await this.#administration.listen(settings.administrationAddress);
    await this.#server.listen(settings.callerAddress);
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
    this.#server.setLinks(this.#dialler);
    this.#startVirtualMachineReader();
    log.write("STARTED", {
      callers: settings.callerAddress,
      administration: settings.administrationAddress,
      incarnation,
    });
  }

  drain(onDrained: () => void, limitMs: number): void {
    this.#isDraining = true;
    this.#server.startClosing(limitMs);
    this.#server.drain(onDrained);
  }

  async close(): Promise<void> {
    this.#settings.stop();
    this.#virtualMachineReader?.stop();
    this.#dialler?.stop();
    this.#server.close();
    this.#administration.close();
    await Promise.resolve();
  }

  onTarget(link: Link, welcome: WelcomeMessage): void {
    this.#settings.exchange.addLink(link);
    this.#server.dispatch({
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
    this.#server.dispatch({
      kind: "message_received",
      now: performance.now(),
      targetName,
      message,
    });
  }

  onTargetLost(targetName: string, link: Link): void {
    this.#settings.exchange.removeLink(link);
    this.#server.dispatch({
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
    this.#drainDomains([...routes.drainedFailureDomains].sort());
    this.#server.dispatch({
      kind: "settings_in_force",
      now: performance.now(),
      routes,
      changed: changedServices,
      leavingTargets: routes.leavingTargets,
    });
  }

  #drainDomains(failureDomains: readonly string[]): void {
    this.#metrics.setDrainedDomains(failureDomains.length);
    this.#server.dispatch({
      kind: "failure_domains_drained",
      now: performance.now(),
      failureDomains,
    });
  }

  #startVirtualMachineReader(): void {
    const { machineList, log } = this.#options;
    if (machineList === undefined) return;
    this.#virtualMachineReader = new VirtualMachineListReader({
      list: machineList,
      onFault: (error) => logInternalFault(log, "the list of VMs", error),
      onList: (virtualMachines) => {
        this.#virtualMachines = virtualMachines;
        this.#dialler?.setVirtualMachines(virtualMachines);
        this.#server.dispatch({
          kind: "machines_listed",
          now: performance.now(),
          virtualMachines,
        });
      },
      onReachable: (isReachable) =>
        log.write(isReachable ? "PLATFORM_REACHED" : "PLATFORM_UNREACHABLE", {
          service: "machine list",
        }),
    });
  }

  /** Refreshes the settings, which may have changed while the process stalled. */
  async #catchUp(): Promise<void> {
    const limit = new Promise<void>((resolve) => {
      setTimeout(resolve, CATCH_UP_TIMEOUT_MS);
    });
    await Promise.race([this.#settings.refresh(), limit]);
  }

  #isReady(): boolean {
    return !this.#isDraining && this.#settings.keeper.snapshot !== undefined;
  }

  async #readStatus() {
    const queried = [...this.#reducer.registry.all()].map((target) => ({
      name: target.name,
      link: this.#dialler?.tryLink(target.name),
    }));
    const targets = await this.#status.collect(queried, this.#virtualMachines);
    return {
      process: this.#options.settings.name,
      revision: this.#settings.keeper.revision,
      draining: this.#isDraining,
      inFlight: this.inFlight,
      unreadable: this.#settings.keeper.snapshot?.unreadable ?? [],
      targets,
      entries: this.#virtualMachines
        .filter((listed) => listed.role === "entry")
        .map((listed) => ({ name: listed.name, address: listed.address })),
    };
  }
}
