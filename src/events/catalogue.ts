/**
 * Every event that is logged, by name and number; docs/EVENTS.md is made from
 * it. Numbers are never used again for another event.
 *
 * @module
 */

/** How much an operator should care. */
export type EventLevel = "info" | "warn" | "error";

/** One row of the event catalogue. */
export interface EventDescription {
  readonly code: number;
  readonly level: EventLevel;
  /** Plain sentence that is logged. */
  readonly text: string;
  /** What an operator should do, if anything. */
  readonly action: string;
}

const NOTHING = "Nothing.";

const EVENTS = {
  STARTED: { code: 2001, level: "info", text: "Started", action: NOTHING },
  DRAINING: {
    code: 2002,
    level: "info",
    text: "Draining: no new work is taken",
    action: NOTHING,
  },
  DRAINED: {
    code: 2003,
    level: "info",
    text: "Drained: nothing is in flight",
    action: NOTHING,
  },
  CUT_AT_END: {
    code: 2004,
    level: "warn",
    text: "Ended with requests in flight, which were cut",
    action:
      "Give more time between the first signal and the end, or shorten the services' deadlines.",
  },
  START_FAILED: {
    code: 2005,
    level: "error",
    text: "Could not start",
    action:
      "Read the cause: a port in use, or an address that is not this machine's.",
  },
  RELOADED: {
    code: 2006,
    level: "info",
    text: "Read the process settings anew",
    action: NOTHING,
  },
  RELOAD_REFUSED: {
    code: 2007,
    level: "error",
    text: "The changed process settings have findings and stay out of force",
    action: "Mend what `findings` names and send SIGHUP again.",
  },
  SETTINGS_IN_FORCE: {
    code: 2101,
    level: "info",
    text: "New settings are in force",
    action: NOTHING,
  },
  SETTINGS_UNREADABLE: {
    code: 2102,
    level: "warn",
    text: "Settings that this version cannot read; the old ones stay in force",
    action: "Update the program, or write the named paths anew.",
  },
  SETTINGS_WENT_BACK: {
    code: 2103,
    level: "warn",
    text: "The key-value service's settings are older than those in force",
    action:
      "See whether the service was restored; accepted settings are put back by themselves.",
  },
  SETTINGS_RESTORED: {
    code: 2104,
    level: "warn",
    text: "Put accepted settings back into the key-value service",
    action: NOTHING,
  },
  SETTINGS_FORKED: {
    code: 2105,
    level: "error",
    text:
      "The key-value service went back and has accepted other changes since",
    action:
      "Compare both with `settings show`, and apply what is meant from an entry with the higher revision.",
  },
  SETTINGS_CHANGE: {
    code: 2106,
    level: "info",
    text: "A change of settings was asked for",
    action: NOTHING,
  },
  PLATFORM_UNREACHABLE: {
    code: 2201,
    level: "warn",
    text:
      "A service of the platform does not answer; what is known stays in use",
    action: "See to the service. Requests go on; changes wait.",
  },
  PLATFORM_REACHED: {
    code: 2202,
    level: "info",
    text: "The platform's service answers again",
    action: NOTHING,
  },
  TARGET_CONNECTED: {
    code: 2301,
    level: "info",
    text: "Connected to a target",
    action: NOTHING,
  },
  TARGET_DISCONNECTED: {
    code: 2302,
    level: "warn",
    text: "The connection to a target was lost",
    action: "If it does not come back, see to the machine or the network.",
  },
  PEER_REJECTED: {
    code: 2303,
    level: "warn",
    text: "A connection was closed because its peer did not prove itself",
    action:
      "See who speaks to this port; compare the deployment's name and secret.",
  },
  LINK_FAULT: {
    code: 2304,
    level: "warn",
    text: "A connection between our processes was closed for a fault",
    action: "Compare the versions of both processes.",
  },
  ENTRY_CONNECTED: {
    code: 2305,
    level: "info",
    text: "An entry connected",
    action: NOTHING,
  },
  SLOTS_CLAIMED: {
    code: 2401,
    level: "info",
    text: "Owns key slots",
    action: NOTHING,
  },
  SLOTS_RELEASED: {
    code: 2402,
    level: "info",
    text: "Released its key slots",
    action: NOTHING,
  },
  MAP_PROPOSED: {
    code: 2601,
    level: "info",
    text: "A new expert map is worth its moves",
    action: NOTHING,
  },
  MAP_DECIDED: {
    code: 2602,
    level: "info",
    text: "The switch to an expert map was decided",
    action:
      "If `isCommitted` is often false, see which rank's engine loads slowly.",
  },
  MAP_PHASE: {
    code: 2603,
    level: "info",
    text: "The decider of a group goes from one phase of a switch to the next",
    action:
      "A phase other than `settled` that stays for seconds names the rank that does not answer in the lines around it.",
  },
  ENGINE_UNREACHABLE: {
    code: 2604,
    level: "warn",
    text: "The engine on this machine did not answer",
    action: "See whether the engine runs.",
  },
  SWITCH_RESCUED: {
    code: 2605,
    level: "warn",
    text:
      "A group waits before a held pass; its switch is ended from beside the holder",
    action:
      "See why the process beside rank 0 does not answer. `held` says whether the switch was decided: it is finished then, and given up otherwise.",
  },
  REMOTE_ORDER: {
    code: 2611,
    level: "warn",
    text: "An order was given to a rank's engine from another machine",
    action:
      "See why the process beside that rank does not answer: it was not connected, or did not answer in time.",
  },
  GROUP_WORKED: {
    code: 2612,
    level: "info",
    text: "How a group worked in the last second",
    action:
      "Answers are late when `passMs` comes near the pause that callers bear: with many `running` for their number, with few for an uneven map, which the lines of `MAP_PROPOSED` show.",
  },
  DECIDER_CONNECTED: {
    code: 2606,
    level: "info",
    text: "Hears the load of a group's ranks from its decider",
    action: NOTHING,
  },
  DECIDER_LOST: {
    code: 2607,
    level: "warn",
    text: "The connection to a group's decider was lost",
    action:
      "Nothing if it comes back: until then load is known from answers only.",
  },
  GROUP_SEEN: {
    code: 2608,
    level: "info",
    text: "A rank group stopped or runs again, as far as this entry knows",
    action:
      "Nothing, unless a group stays stopped: see which of its engines is gone.",
  },
  RANK_CONNECTED: {
    code: 2609,
    level: "info",
    text: "Hears from a rank's process near it whether its group runs",
    action: NOTHING,
  },
  RANK_LOST: {
    code: 2610,
    level: "warn",
    text: "The connection to a rank's process near it was lost",
    action: "Nothing if it comes back: other ranks and the decider tell, too.",
  },
  PAUSED: {
    code: 2501,
    level: "warn",
    text: "The process stood still for a while",
    action: "See whether the machine is short of processor time.",
  },
  REQUEST_SENT: {
    code: 2701,
    level: "info",
    text: "A request goes to a target",
    action: NOTHING,
  },
  ATTEMPT_FAILED: {
    code: 2702,
    level: "info",
    text: "An attempt at a target gave no answer",
    action:
      "If one target fails more than the others, look at its `failureShare`.",
  },
  REQUEST_ANSWERED: {
    code: 2703,
    level: "info",
    text: "A caller got a whole answer",
    action: NOTHING,
  },
  REQUEST_REFUSED: {
    code: 2704,
    level: "warn",
    text: "A caller got a refusal",
    action: "Look up `reason` in docs/EVENTS.md.",
  },
  ANSWER_CUT: {
    code: 2705,
    level: "warn",
    text: "A caller's answer was broken off midway",
    action: "See the lines of the same request for the attempts before it.",
  },
  CALLER_LEFT: {
    code: 2706,
    level: "info",
    text: "A caller left before its answer was whole",
    action: NOTHING,
  },
  LINES_LEFT_OUT: {
    code: 2707,
    level: "warn",
    text: "Lines were left out because the log is bounded",
    action: "Counters are complete; read them on the metrics page.",
  },
  REQUEST_WAITS: {
    code: 2708,
    level: "info",
    text: "A request waits at the entry for a target to get free",
    action: "If many do, the pool is too small or a rank group is lost.",
  },
  REQUEST_FAULT: {
    code: 2709,
    level: "error",
    text: "An error of this program ended a request",
    action: "Report `cause`; the request's connection was closed.",
  },
  DIRECTORY_CHANGED: {
    code: 2801,
    level: "info",
    text: "The list of back ends changed",
    action: NOTHING,
  },
  PROCESSES_CHANGED: {
    code: 2802,
    level: "info",
    text: "The list of the system's own processes changed",
    action: NOTHING,
  },
  SETTINGS_REFUSED: {
    code: 2803,
    level: "error",
    text: "Settings that were written cannot be read and stay out of force",
    action: "See `findings`, and write settings that this version reads.",
  },
  STORE_READER_CHANGED: {
    code: 2804,
    level: "info",
    text: "Another entry reads the platform's store for this one, or no longer",
    action: NOTHING,
  },
  BACK_END_UNREADABLE: {
    code: 2805,
    level: "warn",
    text: "An entry in the platform's store names no back end",
    action: "Look who wrote the key; the other back ends hold",
  },
  STORE_CALLS: {
    code: 2806,
    level: "info",
    text: "Calls to the platform's store since the last such line, by kind",
    action: NOTHING,
  },
  TARGET_ENDED: {
    code: 2807,
    level: "info",
    text: "A target is gone without a word that it leaves",
    action:
      "If targets end often, compare `digest` in the lines of 2702 with these targets: one request may be what ends them.",
  },
  TARGET_CRASHED: {
    code: 2808,
    level: "warn",
    text: "A target has ended under a request",
    action:
      "Nothing after a loss of power. If `refusedMs` is above 0, each target that ran the request of this `digest` has ended: see what `organisation` sends to `path`.",
  },
  STORE_WENT_BACK: {
    code: 2809,
    level: "warn",
    text:
      "The platform's store has come back from an older copy; what is missing there stays known for some seconds",
    action:
      "Compare what the operator wrote last with the settings in force (2101).",
  },
  TARGET_LIMITED: {
    code: 2810,
    level: "warn",
    text: "A target named another limit on what all entries send it, or none",
    action:
      "See why the target is in need; `perSecond` is what it takes, none where the limit has ended.",
  },
  LIMIT_UNREADABLE: {
    code: 2811,
    level: "warn",
    text: "A target named a limit that is no number, which changes nothing",
    action: "See `text`, and mend what names it.",
  },
  TARGET_BACKS_OFF: {
    code: 2812,
    level: "warn",
    text: "A target asked this entry to send it nothing for a time",
    action:
      "See why the target is in need. `leftMs` is how long it gets nothing from this entry; if that is far too long, restart the entry.",
  },
  TARGET_RETURNS: {
    code: 2813,
    level: "info",
    text: "The backoff that a target asked for is over; its load comes back",
    action: NOTHING,
  },
  BACKOFF_UNREADABLE: {
    code: 2814,
    level: "warn",
    text:
      "A target asked for a backoff that is no number of seconds, and gets none",
    action: "See `text`, and mend what sends it.",
  },
  TARGET_SAYS_LEAVING: {
    code: 2815,
    level: "info",
    text: "A target said with an answer that it leaves; it gets no new work",
    action:
      "If it does not leave, restart it: under another name it is used again.",
  },
  LEAVING_UNREADABLE: {
    code: 2816,
    level: "warn",
    text:
      "A target said of leaving what cannot be understood, which changes nothing",
    action: "See `text`, and mend what sends it.",
  },
  DOMAIN_UNREACHABLE: {
    code: 2861,
    level: "warn",
    text:
      "Connections to several targets of a failure domain failed; it gets probes only",
    action:
      "Check the network between this machine's failure domain and the one named. Requests that only targets there could serve are refused with TARGETS_UNREACHABLE.",
  },
  DOMAIN_REACHED: {
    code: 2862,
    level: "info",
    text: "A failure domain that could not be reached has answered",
    action: NOTHING,
  },
  DRAINS_CHANGED: {
    code: 2821,
    level: "info",
    text: "The failure domains that operators drain have changed",
    action: NOTHING,
  },
  DRAIN_UNREADABLE: {
    code: 2822,
    level: "warn",
    text: "A drain in the platform's store cannot be read and changes nothing",
    action: "Find out who wrote the key; write it again or remove it.",
  },
  DRAINS_KEPT: {
    code: 2823,
    level: "warn",
    text:
      "The platform's store has come back without some drains, which stay in force for some seconds",
    action: "Write the drains again that are still wanted.",
  },
  DOMAIN_DRAINED: {
    code: 2824,
    level: "info",
    text: "The targets of a failure domain take no new requests",
    action: NOTHING,
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
    text: "The targets of a failure domain take requests again, at first few",
    action: NOTHING,
  },
  COLD_TARGETS_CHANGED: {
    code: 2831,
    level: "info",
    text: "The set of cold targets of a pool has changed",
    action:
      "Nothing after starts or restarts. Otherwise find out why these targets turned cold.",
  },
  COLDNESS_UNREADABLE: {
    code: 2832,
    level: "warn",
    text:
      "The remaining warm-up time in a list entry is not valid and is ignored",
    action: "Find out who wrote the key; `text` is what it says.",
  },
  COLD_RATE_UNREADABLE: {
    code: 2833,
    level: "warn",
    text:
      "A pool's rate or time for cold targets is not valid; the previous values stay in force",
    action: "Correct the value shown in `text`.",
  },
  SETTINGS_FIELDS_WRONG: {
    code: 2841,
    level: "warn",
    text:
      "Fields of the settings are not valid; their previous values stay in force",
    action: "Correct the fields named in `findings`.",
  },
  GROUP_HOLDS_BACK: {
    code: 2842,
    level: "info",
    text: "Requests are held back from a rank group that is near its capacity",
    action:
      "If it lasts, add capacity. `heldPart` is the part of all requests, `held` the requests since the last line.",
  },
  ANSWER_PAUSED: {
    code: 2851,
    level: "info",
    text:
      "A caller reads slowly, so its answer is read no further until it has caught up; logged once for each request",
    action: NOTHING,
  },
  SLOW_CALLER_CUT: {
    code: 2852,
    level: "warn",
    text:
      "A caller's connection was closed because the bytes held for all callers exceeded heldBytesLimit",
    action:
      "See `stalledMs`: above 1000 it took nothing. Where callers that read are cut, add entries, or raise `heldBytesLimit` if the machine has memory.",
  },
  BODY_REFUSED: {
    code: 2853,
    level: "warn",
    text:
      "A request body was refused because it did not fit into heldBytesLimit",
    action:
      "Where `bodyBytes` is large, see which callers send large bodies; add entries.",
  },
  INTERNAL_FAULT: {
    code: 2901,
    level: "error",
    text: "A fault of the program itself",
    action: "Report it with the logged stack.",
  },
} as const satisfies Readonly<Record<string, EventDescription>>;

/** Name of a logged event. */
export type EventName = keyof typeof EVENTS;

/** All names, in the order of the catalogue. */
export const EVENT_NAMES = Object.keys(EVENTS) as readonly EventName[];

/** The catalogue row of a name. */
export function getEvent(name: EventName): EventDescription {
  return EVENTS[name];
}
