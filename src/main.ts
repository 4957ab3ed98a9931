/**
 * Command line of the program: `lagoonwharf entry`, `target`, `platform`, `settings`
 * and `status`.
 *
 * @module
 */
// Must be imported first, so that a SIGHUP during start-up does not end the process.
import { releaseReloadSignal } from "./process/reload_signal.ts";
import process from "node:process";
import meow from "meow";
import { runEntry } from "./commands/entry_command.ts";
import { EXIT_CODES, type ExitCode } from "./commands/exit_codes.ts";
import { runSettings } from "./commands/settings_command.ts";
import { runStatus } from "./commands/status_command.ts";
import { runTarget } from "./commands/target_command.ts";
import { runPlatform } from "../platform/mod.ts";
import { VERSION } from "./version.ts";

const HELP = `
  Usage
    $ lagoonwharf entry FILE              run the process of an entry VM
    $ lagoonwharf target FILE             run the process of a target VM
    $ lagoonwharf platform entry FILE     run an entry that calls back ends itself
    $ lagoonwharf platform rank FILE      run the sidecar of a rank's engine
    $ lagoonwharf settings check FILE     check a document and print findings
    $ lagoonwharf settings apply FILE     change a path
    $ lagoonwharf settings remove PATH    remove a path
    $ lagoonwharf settings show PATH      print a path's document, to edit and apply
    $ lagoonwharf settings diff FILE      compare a file with the settings in force
    $ lagoonwharf settings history PATH   print the changes of a path
    $ lagoonwharf settings list           print all paths
    $ lagoonwharf settings wait REVISION  wait until a revision is in force everywhere
    $ lagoonwharf status                  print the state of every process

  Options
    --entry ADDRESS    administration address of an entry [127.0.0.1:8081]
    --path PATH        settings path of FILE, if it has no line "# path: PATH"
    --base RECORD      record that FILE is based on
    --change-id ID     retry a change whose outcome is unknown
    --limit MS         how long "wait" waits [14000]

  The token is read from the variable LAGOONWHARF_TOKEN, the processes' secret
  from LAGOONWHARF_SECRET unless their file has it.
`;
const DEFAULT_ENTRY = "127.0.0.1:8081";
const DEFAULT_WAIT_MS = 14_000;

async function run(): Promise<ExitCode | undefined> {
  const cli = meow(HELP, {
    importMeta: import.meta,
    pkg: { name: "lagoonwharf", version: VERSION },
    description: "A load balancer for expert-parallel model groups",
    allowUnknownFlags: false,
    flags: {
      entry: { type: "string", default: DEFAULT_ENTRY },
      path: { type: "string" },
      base: { type: "string" },
      changeId: { type: "string" },
      limit: { type: "number", default: DEFAULT_WAIT_MS },
    },
  });
  const [command, ...commandArguments] = cli.input;
  const options = {
    entry: cli.flags.entry,
    token: process.env["LAGOONWHARF_TOKEN"] ?? "",
    path: cli.flags.path,
    base: cli.flags.base,
    changeId: cli.flags.changeId,
    limitMs: cli.flags.limit,
  };
  if (command === "settings" || command === "status") releaseReloadSignal();
  if (command === "settings") {
    return await runSettings(commandArguments, options);
  }
  if (command === "status") return await runStatus(options);
  const [file] = commandArguments;
  if (command === "entry" && file !== undefined) return await runEntry(file);
  if (command === "platform") return await runPlatform(commandArguments);
  if (command === "target" && file !== undefined) return await runTarget(file);
  process.stderr.write(`${cli.help}\n`);
  return EXIT_CODES.USAGE;
}

// Top-level await is not available, as the binary is one CommonJS file.
void run().then((code) => {
  if (code !== undefined) process.exit(code);
});
