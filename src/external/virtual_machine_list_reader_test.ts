import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import {
  type VirtualMachine,
  VirtualMachineList,
} from "./virtual_machine_list.ts";
import { VirtualMachineListReader } from "./virtual_machine_list_reader.ts";

class EmptyList extends VirtualMachineList {
  override read(): Promise<readonly VirtualMachine[]> {
    return Promise.resolve([]);
  }
}

/**
 * Guards against a list of VMs that is reported as unreachable because this program
 * throws while it handles the list.
 */
describe("an exception in the handler of the list of VMs", () => {
  it("is reported as a fault of its own while the list counts as reached", async () => {
    const faults: unknown[] = [];
    const reached: boolean[] = [];
    const reader = new VirtualMachineListReader({
      list: new EmptyList(),
      onList: () => {
        throw new TypeError("unexpected value");
      },
      onFault: (error) => faults.push(error),
      onReachable: (isReachable) => reached.push(isReachable),
    });
    await setImmediate();
    reader.stop();
    assert.deepEqual(reached, [true]);
    assert.ok(faults[0] instanceof TypeError);
  });
});
