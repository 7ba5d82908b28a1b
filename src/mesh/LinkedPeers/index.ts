/** Time for which a VM is remembered after its last message, in ms; longer than a voter may be silent. */
const RETENTION_MS = 30_000;
/** Maximum number of remembered VMs; several times the processes of a large fleet. */
const MAX_PEERS = 4_096;

interface LinkedPeer {
    readonly failureDomain: string;
    readonly position: number;
    readonly atMs: number;
}

/** What a process knows about the VMs that it is, or was recently, linked to. Forgets those that are silent, the oldest first. */
export class LinkedPeers {
    /** Peers in the order of their last message. */
    private readonly peers = new Map<string, LinkedPeer>();

    private constructor() {}

    /** Creates a store without VMs. */
    static create(): LinkedPeers {
        return new LinkedPeers();
    }

    /** Number of remembered VMs. */
    get size(): number {
        return this.peers.size;
    }

    /** Records that a VM has been linked. */
    recordOpen(vm: string, failureDomain: string, nowMs: number): void {
        this.put(vm, { failureDomain, position: this.positionOf(vm), atMs: nowMs });
    }

    /**
     * Records a message of a VM.
     *
     * @param vm - VM that has sent it.
     * @param position - Log position that it states, or undefined if the message states none.
     * @param nowMs - Current time.
     */
    recordMessage(vm: string, position: number | undefined, nowMs: number): void {
        const known = this.peers.get(vm);
        this.put(vm, { failureDomain: known?.failureDomain ?? "", position: position ?? known?.position ?? 0, atMs: nowMs });
    }

    /** Returns the time of the last message of a VM, in ms; negative infinity if none is remembered. */
    lastMessageAtMs(vm: string): number {
        return this.peers.get(vm)?.atMs ?? Number.NEGATIVE_INFINITY;
    }

    /** Returns the log position that a VM stated last; 0 if none is remembered. */
    positionOf(vm: string): number {
        return this.peers.get(vm)?.position ?? 0;
    }

    /** Returns the failure domain of a VM, or undefined if it is not remembered. */
    failureDomainOf(vm: string): string | undefined {
        return this.peers.get(vm)?.failureDomain;
    }

    private put(vm: string, peer: LinkedPeer): void {
        this.peers.delete(vm);
        this.peers.set(vm, peer);
        for (const [oldest, { atMs }] of this.peers) {
            if (this.peers.size <= MAX_PEERS && atMs >= peer.atMs - RETENTION_MS) {
                return;
            }
            this.peers.delete(oldest);
        }
    }
}
