import { ItemController } from "../../../src/controllers/ItemController/index.js";
import { QuorumStore } from "../../../src/controllers/QuorumStore/index.js";
import { ItemKind } from "../../../src/decisions/items/ItemKind.js";
import { ItemOutcomeKind } from "../../../src/decisions/items/ItemOutcomeKind.js";
import { emptySnapshot } from "../../../src/decisions/quorum/emptySnapshot.js";
import { QuorumMessage } from "../../../src/decisions/quorum/QuorumMessage.js";
import { EventLog } from "../../../src/logs/EventLog/index.js";
import { createRandom } from "../../soak/createRandom/index.js";
import { DiskProfile } from "../DiskProfile.js";
import { SimulatedDisk } from "../SimulatedDisk/index.js";

const MESSAGE_DELAY_MS = 1.5;

interface ControlVm {
    readonly name: string;
    readonly disk: SimulatedDisk;
    items: ItemController | undefined;
}

/** Controllers of control VMs with simulated disks and links, on the clock of the runtime. */
export class ControlGroup {
    private version = 0;

    private constructor(private readonly vms: readonly ControlVm[], private readonly events: EventLog) {}

    /**
     * Creates control VMs that vote and have a log, but do not run yet.
     *
     * @param seed - Seed of the sync times.
     * @param size - Number of control VMs.
     * @param events - Event log of all control VMs.
     */
    static async create(seed: number, size: number, events: EventLog): Promise<ControlGroup> {
        const random = createRandom(seed);
        const vms = Array.from({ length: size }, (_, index) => ({ name: `control-${index + 1}`, disk: SimulatedDisk.create(random), items: undefined }));
        const stores = await Promise.all(vms.map(({ disk, name }) => QuorumStore.create(disk, name)));
        const voters = stores.map(({ identity }) => identity);
        const snapshot = { ...emptySnapshot, lastIndex: 1, lastTerm: 1, voters };
        await Promise.all(stores.map((store) => store.save([{ hardState: { term: 1, votedFor: undefined }, entries: [], snapshot, remaining: [] }])));
        return new ControlGroup(vms, events);
    }

    /** Names of all control VMs. */
    get names(): readonly string[] {
        return this.vms.map(({ name }) => name);
    }

    /** Names of the control VMs that run and are ready leaders. */
    get readyLeaders(): readonly string[] {
        return this.vms.filter(({ items }) => items?.quorum.isReady === true).map(({ name }) => name);
    }

    /** Highest term of the control VMs. */
    get term(): number {
        return Math.max(...this.vms.map(({ items }) => items?.quorum.term ?? 0));
    }

    /** Sets the sync times of the disks of some control VMs; all, if none is named. */
    setProfile(profile: DiskProfile, names: readonly string[] = this.names): void {
        this.vms.filter(({ name }) => names.includes(name)).forEach(({ disk }) => disk.profile = profile);
    }

    /** Starts the first control VMs. */
    async start(count = this.vms.length): Promise<void> {
        await Promise.all(this.vms.slice(0, count).map(async (vm) => {
            vm.items = await ItemController.create(vm.disk, vm.name, {
                minVoters: 1,
                send: (to, message) => this.send(vm.items?.quorum.identity ?? "", to, message),
                learners: () => [],
                onItems: () => undefined,
            }, this.events);
        }));
    }

    /** Ends all control VMs; writes that are not synced are lost. */
    losePower(): void {
        this.vms.forEach((vm) => {
            void vm.items?.close();
            vm.items = undefined;
            vm.disk.losePower();
        });
    }

    /** Commits a change on the leader; false if there is none or it does not accept the change. */
    async change(): Promise<boolean> {
        this.version += 1;
        const item = { key: `${ItemKind.Service} a`, version: this.version, content: undefined, document: "" };
        try {
            return (await this.leader?.propose([item]))?.kind === ItemOutcomeKind.Accepted;
        }
        catch {
            return false;
        }
    }

    /** Reads the items on the leader; false if there is none or it does not answer. */
    async read(): Promise<boolean> {
        try {
            return (await this.leader?.read()) !== undefined;
        }
        catch {
            return false;
        }
    }

    private send(from: string, to: string, message: QuorumMessage): void {
        setTimeout(() => {
            const receiver = this.vms.find(({ items }) => items?.quorum.identity === to);
            receiver?.items?.handleMessage(from, message);
        }, MESSAGE_DELAY_MS);
    }

    private get leader(): ItemController | undefined {
        return this.vms.find(({ items }) => items?.quorum.isReady === true)?.items;
    }
}
