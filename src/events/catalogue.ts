/**
 * All logged events by name and number; docs/EVENTS.md is generated from them. A number
 * is never reused.
 *
 * @module
 */

/** Severity of an event. */
export type EventLevel = "info" | "warn" | "error";

/** One row of the event catalogue. */
export interface EventDescription {
  readonly code: number;
  readonly level: EventLevel;
  /** Sentence that is logged. */
  readonly text: string;
  /** What an operator should do, if anything. */
  readonly action: string;
}

const NO_ACTION = "Nothing.";

const EVENTS = {
  STARTED: { code: 2001, level: "info", text: "Started", action: NO_ACTION },
  DRAINING: {
    code: 2002,
    level: "info",
    text: "Draining: no new work is accepted",
    action: NO_ACTION,
  },
  DRAINED: {
    code: 2003,
    level: "info",
    text: "Drained: nothing is in flight",
    action: NO_ACTION,
  },
  CUT_AT_END: {
    code: 2004,
    level: "warn",
    text: "Ended with requests in flight, which were cut off",
    action:
      "Allow more time between the first signal and the end, or shorten the services' deadlines.",
  },
  START_FAILED: {
    code: 2005,
    level: "error",
    text: "Could not start",
    action:
      "Check `cause`: for example a port that is in use, or an address of another VM.",
  },
  RELOADED: {
    code: 2006,
    level: "info",
    text: "Reloaded the process settings",
    action: NO_ACTION,
  },
  RELOAD_REFUSED: {
    code: 2007,
    level: "error",
    text:
      "The changed process settings are not valid; the previous ones stay in force",
    action: "Correct the properties named in `findings` and send SIGHUP again.",
  },
  SETTINGS_IN_FORCE: {
    code: 2101,
    level: "info",
    text: "New settings are in force",
    action: NO_ACTION,
  },
  SETTINGS_UNREADABLE: {
    code: 2102,
    level: "warn",
    text:
      "This version cannot read some settings; the previous ones stay in force",
    action: "Update the program, or rewrite the named paths.",
  },
  SETTINGS_WENT_BACK: {
    code: 2103,
    level: "warn",
    text: "The settings in the key-value service are older than those in force",
    action:
      "Check whether the service was restored; accepted settings are written back automatically.",
  },
  SETTINGS_RESTORED: {
    code: 2104,
    level: "warn",
    text: "Wrote accepted settings back into the key-value service",
    action: NO_ACTION,
  },
  SETTINGS_FORKED: {
    code: 2105,
    level: "error",
    text:
      "The key-value service was restored from an older copy and has accepted other changes since",
    action:
      "Compare both with `settings show`, and apply the intended settings at an entry with the higher revision.",
  },
  SETTINGS_CHANGE: {
    code: 2106,
    level: "info",
    text: "A change of settings was requested",
    action: NO_ACTION,
  },
  PLATFORM_UNREACHABLE: {
    code: 2201,
    level: "warn",
    text:
      "A service of the platform does not answer; its last known state stays in use",
    action:
      "Restore the service. Requests are still served; changes take effect once it answers.",
  },
  PLATFORM_REACHED: {
    code: 2202,
    level: "info",
    text: "The service of the platform answers again",
    action: NO_ACTION,
  },
  TARGET_CONNECTED: {
    code: 2301,
    level: "info",
    text: "Connected to a target",
    action: NO_ACTION,
  },
  TARGET_DISCONNECTED: {
    code: 2302,
    level: "warn",
    text: "The connection to a target was lost",
    action: "If it is not restored, check the VM and the network.",
  },
  PEER_REJECTED: {
    code: 2303,
    level: "warn",
    text: "A connection was closed because its peer failed to authenticate",
    action:
      "Find out which process connects to this port; compare the deployment's name and secret.",
  },
  LINK_FAULT: {
    code: 2304,
    level: "warn",
    text:
      "A connection between lagoonwharf processes was closed because of a fault",
    action: "Compare the versions of both processes.",
  },
  ENTRY_CONNECTED: {
    code: 2305,
    level: "info",
    text: "An entry connected",
    action: NO_ACTION,
  },
  SLOTS_CLAIMED: {
    code: 2401,
    level: "info",
    text: "Claimed key slots",
    action: NO_ACTION,
  },
  SLOTS_RELEASED: {
    code: 2402,
    level: "info",
    text: "Released its key slots",
    action: NO_ACTION,
  },
  MAP_PROPOSED: {
    code: 2601,
    level: "info",
    text: "The benefit of a new expert map exceeds the cost of its moves",
    action: NO_ACTION,
  },
  MAP_DECIDED: {
    code: 2602,
    level: "info",
    text: "The decider committed or abandoned a switch to an expert map",
    action:
      "If `isCommitted` is often false, find out which rank's engine loads slowly.",
  },
  MAP_PHASE: {
    code: 2603,
    level: "info",
    text: "The decider of a group entered the next phase of a switch",
    action:
      "If a phase other than `settled` lasts for seconds, the lines around it name the rank that does not answer.",
  },
  ENGINE_UNREACHABLE: {
    code: 2604,
    level: "warn",
    text: "The engine on this VM did not answer",
    action: "Check whether the engine is running.",
  },
  SWITCH_RESCUED: {
    code: 2605,
    level: "warn",
    text:
      "A group waits before a held pass; the holder's sidecar ends the switch",
    action:
      "Find out why the sidecar of rank 0 does not answer. `held` shows whether the switch was committed: if so it is completed, otherwise it is abandoned.",
  },
  REMOTE_ORDER: {
    code: 2611,
    level: "warn",
    text: "An order was sent directly to a rank's engine on another VM",
    action:
      "Find out why the sidecar of that rank was not connected or did not answer in time.",
  },
  GROUP_WORKED: {
    code: 2612,
    level: "info",
    text: "Load and pass durations of a group in the last second",
    action:
      "Answers miss the pause objective when `passMs` approaches it. With many `running` the cause is their number; with few it is an unbalanced map, which the lines of `MAP_PROPOSED` show.",
  },
  DECIDER_CONNECTED: {
    code: 2606,
    level: "info",
    text: "Connected to a group's decider, which reports the load of its ranks",
    action: NO_ACTION,
  },
  DECIDER_LOST: {
    code: 2607,
    level: "warn",
    text: "The connection to a group's decider was lost",
    action:
      "Nothing if the connection is restored: until then load is known from answers only.",
  },
  GROUP_SEEN: {
    code: 2608,
    level: "info",
    text:
      "A rank group has stopped or is running again, as observed by this entry",
    action:
      "Nothing, unless a group stays stopped: find out which of its engines is gone.",
  },
  RANK_CONNECTED: {
    code: 2609,
    level: "info",
    text:
      "Connected to a rank's sidecar in this failure domain, which reports whether the group runs",
    action: NO_ACTION,
  },
  RANK_LOST: {
    code: 2610,
    level: "warn",
    text: "The connection to a rank's sidecar in this failure domain was lost",
    action:
      "Nothing if the connection is restored: other ranks and the decider report the state, too.",
  },
  PAUSED: {
    code: 2501,
    level: "warn",
    text: "The process was stalled",
    action: "Check whether the VM is short of processor time.",
  },
  REQUEST_SENT: {
    code: 2701,
    level: "info",
    text: "A request was sent to a target",
    action: NO_ACTION,
  },
  ATTEMPT_FAILED: {
    code: 2702,
    level: "info",
    text: "An attempt at a target failed without an answer",
    action:
      "If one target fails more often than the others, check its `failureShare`.",
  },
  REQUEST_ANSWERED: {
    code: 2703,
    level: "info",
    text: "A caller received a complete answer",
    action: NO_ACTION,
  },
  REQUEST_REFUSED: {
    code: 2704,
    level: "warn",
    text: "A request was refused",
    action: "Look up `reason` in docs/EVENTS.md.",
  },
  ANSWER_CUT: {
    code: 2705,
    level: "warn",
    text: "An answer was cut off after part of it was sent to the caller",
    action: "Check the lines of the same request for the preceding attempts.",
  },
  CALLER_LEFT: {
    code: 2706,
    level: "info",
    text: "A caller disconnected before its answer was complete",
    action: NO_ACTION,
  },
  LINES_LEFT_OUT: {
    code: 2707,
    level: "warn",
    text: "Log lines were omitted because the log's rate is limited",
    action: "Counters are complete; read them on the metrics page.",
  },
  REQUEST_WAITS: {
    code: 2708,
    level: "info",
    text: "A request waits at the entry until a target is free",
    action: "If many do, the pool is too small or a rank group is lost.",
  },
  REQUEST_FAULT: {
    code: 2709,
    level: "error",
    text: "An error in this program ended a request",
    action: "Report `cause`; the request's connection was closed.",
  },
  DIRECTORY_CHANGED: {
    code: 2801,
    level: "info",
    text: "The list of back ends changed",
    action: NO_ACTION,
  },
  PROCESSES_CHANGED: {
    code: 2802,
    level: "info",
    text: "The list of lagoonwharf processes changed",
    action: NO_ACTION,
  },
  SETTINGS_REFUSED: {
    code: 2803,
    level: "error",
    text: "New settings cannot be read and are ignored",
    action: "Check `findings`, and write settings that this version can read.",
  },
  STORE_READER_CHANGED: {
    code: 2804,
    level: "info",
    text:
      "This entry starts or stops following another entry that reads the platform's store",
    action: NO_ACTION,
  },
  SETTINGS_SENT: {
    code: 2817,
    level: "info",
    text: "New settings were sent to the entries that follow this one",
    action:
      "If `skipped` stays above 0, compare `bytes` times `followers` with the capacity of this VM's link.",
  },
  BACK_END_UNREADABLE: {
    code: 2805,
    level: "warn",
    text:
      "A registration in the platform's store cannot be read and is ignored",
    action: "Find out who wrote the key. The other back ends are not affected.",
  },
  STORE_CALLS: {
    code: 2806,
    level: "info",
    text: "Calls to the platform's store since the previous such line, by kind",
    action: NO_ACTION,
  },
  TARGET_ENDED: {
    code: 2807,
    level: "info",
    text: "A target is gone without having announced that it is leaving",
    action:
      "If this happens often, look for a `digest` that the lines of event 2702 for these targets have in common: one request may crash them.",
  },
  TARGET_CRASHED: {
    code: 2808,
    level: "warn",
    text: "A target crashed while it processed a request",
    action:
      "Nothing after a power failure. If `refusedMs` is above 0, each target that ran the request with this `digest` has crashed: check what `organisation` sends to `path`.",
  },
  STORE_WENT_BACK: {
    code: 2809,
    level: "warn",
    text:
      "The platform's store was restored from an older copy; state that it has lost is kept for some seconds",
    action:
      "Compare the operator's last changes with the settings in force (2101).",
  },
  PROMPT_PART_REFUSED: {
    code: 2818,
    level: "error",
    text:
      "Requests with a part of a prompt are refused, as targets crash under it",
    action:
      "Find out who sends prompts with this `part`, and why the model server crashes on it. `targets` crashed under it. One request is tried after `refusedMs`.",
  },
  PROMPT_PART_ALLOWED: {
    code: 2819,
    level: "warn",
    text: "Requests with a part of a prompt are no longer refused",
    action:
      "Nothing: a request with it was answered, or its crashes are too old.",
  },
  TARGET_LIMITED: {
    code: 2810,
    level: "warn",
    text:
      "A target changed or removed its limit on the requests of all entries together",
    action:
      "Find out why the target limits its load. `perSecond` is the limit in requests per second; it is missing if the limit was removed.",
  },
  LIMIT_UNREADABLE: {
    code: 2811,
    level: "warn",
    text: "A target announced a limit that is not a number; it is ignored",
    action: "Correct the back end that sends the value shown in `text`.",
  },
  TARGET_BACKS_OFF: {
    code: 2812,
    level: "warn",
    text:
      "A target requested a backoff: this entry sends it no requests for a time",
    action:
      "Find out why the target backs off. `leftMs` is the remaining time in which this entry sends it no requests; if that is far too long, restart the entry.",
  },
  TARGET_RETURNS: {
    code: 2813,
    level: "info",
    text: "The backoff of a target is over; its load ramps up",
    action: NO_ACTION,
  },
  BACKOFF_UNREADABLE: {
    code: 2814,
    level: "warn",
    text:
      "A target requested a backoff that is not a number of seconds; it is ignored",
    action: "Correct the back end that sends the value shown in `text`.",
  },
  TARGET_SAYS_LEAVING: {
    code: 2815,
    level: "info",
    text:
      "A target announced in an answer that it is leaving; it receives no new requests",
    action:
      "If it does not leave, restart it: it is used again under another name.",
  },
  LEAVING_UNREADABLE: {
    code: 2816,
    level: "warn",
    text:
      "A target's announcement that it is leaving cannot be read and is ignored",
    action: "Correct the back end that sends the value shown in `text`.",
  },
  DOMAIN_UNREACHABLE: {
    code: 2861,
    level: "warn",
    text:
      "Connections to several targets of a failure domain failed; only probes are sent to it",
    action:
      "Check the network between this VM's failure domain and the one named. Requests that only targets there could serve are refused with TARGETS_UNREACHABLE.",
  },
  DOMAIN_REACHED: {
    code: 2862,
    level: "info",
    text: "A failure domain that was unreachable has answered",
    action: NO_ACTION,
  },
  DRAINS_CHANGED: {
    code: 2821,
    level: "info",
    text: "The set of drained failure domains has changed",
    action: NO_ACTION,
  },
  DRAIN_UNREADABLE: {
    code: 2822,
    level: "warn",
    text: "A drain in the platform's store cannot be read and is ignored",
    action: "Find out who wrote the key; write it again or remove it.",
  },
  DRAINS_KEPT: {
    code: 2823,
    level: "warn",
    text:
      "The platform's store was restored without some drains, which stay in force for some seconds",
    action: "Write the drains again that are still needed.",
  },
  DOMAIN_DRAINED: {
    code: 2824,
    level: "info",
    text: "The targets of a failure domain receive no new requests",
    action: NO_ACTION,
  },
  DOMAIN_WITHOUT_TARGETS: {
    code: 2825,
    level: "warn",
    text: "A drained failure domain contains no target",
    action: "Compare the name with the failure domains of the targets.",
  },
  DOMAIN_RETURNS: {
    code: 2826,
    level: "info",
    text:
      "The targets of a failure domain receive requests again; their load ramps up",
    action: NO_ACTION,
  },
  COLD_TARGETS_CHANGED: {
    code: 2831,
    level: "info",
    text: "The set of cold targets of a pool has changed",
    action:
      "Nothing after starts or restarts. Otherwise find out why these targets became cold.",
  },
  COLDNESS_UNREADABLE: {
    code: 2832,
    level: "warn",
    text:
      "The remaining warm-up time in a registration is not valid and is ignored",
    action: "Find out who wrote the key; `text` is its value.",
  },
  COLD_RATE_UNREADABLE: {
    code: 2833,
    level: "warn",
    text:
      "A pool's request rate or warm-up time for cold targets is not valid; the previous values stay in force",
    action: "Correct the value shown in `text`.",
  },
  SETTINGS_FIELDS_WRONG: {
    code: 2841,
    level: "warn",
    text:
      "Rows or fields of the settings do not apply as written; the others are in force",
    action:
      "Correct those named in `findings`; each says what applies until then.",
  },
  GROUP_HOLDS_BACK: {
    code: 2842,
    level: "info",
    text: "Requests to a rank group that is near its capacity are deferred",
    action:
      "If it lasts, add capacity. `heldPart` is the fraction of all requests that is deferred, `held` the number of requests deferred since the previous line.",
  },
  ANSWER_PAUSED: {
    code: 2851,
    level: "info",
    text:
      "An answer is paused because its caller reads slowly; logged once for each request",
    action: NO_ACTION,
  },
  SLOW_CALLER_CUT: {
    code: 2852,
    level: "warn",
    text:
      "A caller's connection was closed because the bytes held for all callers exceeded heldBytesLimit",
    action:
      "Check `stalledMs`: above 1000 the caller had stopped reading. If callers that still read are cut off, add entries, or raise `heldBytesLimit` if the VM has enough memory.",
  },
  BODY_REFUSED: {
    code: 2853,
    level: "warn",
    text:
      "A request body was refused because it did not fit into heldBytesLimit",
    action:
      "If `bodyBytes` is large, find out which callers send large bodies. Add entries.",
  },
  CONNECTION_CLOSED: {
    code: 2854,
    level: "warn",
    text: "A client's connection was closed because of a limit",
    action:
      "Find out which clients do not behave: `reason` says which limit they met. `too_many_connections` may also be too few entries.",
  },
  INTERNAL_FAULT: {
    code: 2901,
    level: "error",
    text: "An internal error of the program",
    action: "Report it with the logged stack.",
  },
} as const satisfies Readonly<Record<string, EventDescription>>;

/** Name of a logged event. */
export type EventName = keyof typeof EVENTS;

/** All names, in the order of the catalogue. */
export const EVENT_NAMES = Object.keys(EVENTS) as readonly EventName[];

/** Returns the catalogue row of a name. */
export function getEvent(name: EventName): EventDescription {
  return EVENTS[name];
}
