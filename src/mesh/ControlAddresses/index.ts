import { nowMs } from "../../clock/nowMs/index.js";
import { ControlPeer } from "../../links/ControlPeer.js";
import { isControlPeer } from "../../links/isControlPeer/index.js";

/** Time for which a discovered address is tried, in ms; longer than the downtime of a control VM. */
const RETENTION_MS = 120_000;

/** Addresses of control VMs: the seeds of the settings, and those discovered through other processes. */
export class ControlAddresses {
    private seeds: readonly string[] = [];
    private readonly discovered = new Map<string, { readonly peer: ControlPeer; readonly atMs: number }>();

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

    /** Records a control VM that has announced itself. */
    recordAnnounced(peer: unknown): void {
        if (isControlPeer(peer)) {
            this.recordPeer(peer);
        }
    }

    /** Records control VMs reported by another process. A known entry takes precedence, since it may come from the VM itself. */
    recordReported(peers: readonly unknown[]): void {
        const unknownPeers = peers.filter(isControlPeer).filter(({ vm }) => !this.discovered.has(vm));
        unknownPeers.forEach((peer) => this.recordPeer(peer));
    }

    /** Keeps the fields of a control VM only: any other one could be one that cannot be passed on. */
    private recordPeer({ vm, linkAddress, identity }: ControlPeer): void {
        this.discovered.set(vm, { peer: { vm, linkAddress, identity }, atMs: nowMs() });
    }
}
