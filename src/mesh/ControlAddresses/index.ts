import { nowMs } from "../../clock/nowMs/index.js";
import { ControlPeer } from "../../links/ControlPeer.js";
import { isControlPeer } from "../../links/isControlPeer/index.js";
import { MAX_CONTROL_VMS } from "../maxControlVms.js";

/** Time for which a discovered address is tried, in ms; longer than the downtime of a control VM. */
const RETENTION_MS = 120_000;

interface DiscoveredPeer {
    readonly peer: ControlPeer;
    readonly atMs: number;
    /** True if the control VM has announced itself, false if another process has reported it. */
    readonly isAnnounced: boolean;
}

/** Addresses of control VMs: the seeds of the settings, and those discovered through other processes. */
export class ControlAddresses {
    private seeds: readonly string[] = [];
    private readonly discovered = new Map<string, DiscoveredPeer>();

    private constructor(private readonly ownAddress: string) {}

    /**
     * Creates a set of addresses without seeds.
     *
     * @param ownAddress - Address of this process, which is excluded.
     */
    static create(ownAddress: string): ControlAddresses {
        return new ControlAddresses(ownAddress);
    }

    /** Recently discovered control VMs. */
    get peers(): readonly ControlPeer[] {
        const sinceMs = nowMs() - RETENTION_MS;
        return [...this.discovered.values()].filter(({ atMs }) => atMs >= sinceMs).map(({ peer }) => peer);
    }

    /** All addresses to connect to. */
    get addresses(): readonly string[] {
        const addresses = [...this.peers.map(({ linkAddress }) => linkAddress), ...this.seeds];
        return [...new Set(addresses)].filter((address) => address !== this.ownAddress);
    }

    /** Sets the link addresses of the seeds. */
    setSeeds(seeds: readonly string[]): void {
        this.seeds = seeds;
    }

    /** Records a control VM that has announced itself. If there are too many, it replaces one that has only been reported. */
    recordAnnounced(peer: unknown): void {
        if (!isControlPeer(peer)) {
            return;
        }
        this.removeExpired();
        if (!this.discovered.has(peer.vm) && this.discovered.size >= MAX_CONTROL_VMS) {
            const replaced = [...this.discovered].find(([, { isAnnounced }]) => !isAnnounced);
            if (replaced === undefined) {
                return;
            }
            this.discovered.delete(replaced[0]);
        }
        this.discovered.set(peer.vm, { peer, atMs: nowMs(), isAnnounced: true });
    }

    /**
     * Records control VMs reported by another process. A known entry takes precedence, since it may come from the VM itself.
     *
     * @param peers - What was received.
     * @returns Number of those for which there is no room.
     */
    recordReported(peers: readonly unknown[]): number {
        this.removeExpired();
        const unknownPeers = peers.filter(isControlPeer).filter(({ vm }) => !this.discovered.has(vm));
        const added = unknownPeers.slice(0, Math.max(0, MAX_CONTROL_VMS - this.discovered.size));
        added.forEach((peer) => this.discovered.set(peer.vm, { peer, atMs: nowMs(), isAnnounced: false }));
        return unknownPeers.length - added.length;
    }

    private removeExpired(): void {
        const sinceMs = nowMs() - RETENTION_MS;
        [...this.discovered].filter(([, { atMs }]) => atMs < sinceMs).forEach(([vm]) => this.discovered.delete(vm));
    }
}
