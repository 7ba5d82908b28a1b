import { nowMs } from "../../clock/nowMs/index.js";
import { ControlPeer } from "../../links/ControlPeer.js";

/** Time for which an address that was heard of is tried, in ms; longer than a control VM is down. */
const REMEMBER_MS = 120_000;

/** The addresses of control VMs: the seeds of the settings, and those that others have told of. */
export class ControlAddresses {
    private seeds: readonly string[] = [];
    private readonly heard = new Map<string, { readonly peer: ControlPeer; readonly atMs: number }>();

    private constructor(private readonly ownAddress: string) {}

    /**
     * Creates the addresses.
     *
     * @param ownAddress - Address of this process, which is left out.
     */
    static create(ownAddress: string): ControlAddresses {
        return new ControlAddresses(ownAddress);
    }

    /** Control VMs heard of lately. */
    get peers(): readonly ControlPeer[] {
        const sinceMs = nowMs() - REMEMBER_MS;
        return [...this.heard.values()].filter(({ atMs }) => atMs >= sinceMs).map(({ peer }) => peer);
    }

    /** All addresses to try. */
    get addresses(): readonly string[] {
        const addresses = [...this.peers.map(({ linkAddress }) => linkAddress), ...this.seeds];
        return [...new Set(addresses)].filter((address) => address !== this.ownAddress);
    }

    /** Sets the link addresses of the seeds. */
    setSeeds(seeds: readonly string[]): void {
        this.seeds = seeds;
    }

    /** Takes note of a control VM that has spoken itself. */
    hearSelf(peer: ControlPeer): void {
        this.heard.set(peer.vm, { peer, atMs: nowMs() });
    }

    /** Takes note of control VMs that another process knows; what they have said themselves goes before it. */
    hearOf(peers: readonly ControlPeer[]): void {
        peers.filter(({ vm }) => !this.heard.has(vm)).forEach((peer) => this.heard.set(peer.vm, { peer, atMs: nowMs() }));
    }
}
