import { ConfigurationVersion } from "../../../model/ConfigurationVersion.js";
import { comparePositions } from "../comparePositions/index.js";

/** Failure domains from which peers must have reported their positions. */
const REQUIRED_DOMAINS = 2;

interface PeerPosition {
    readonly failureDomain: string;
    readonly position: ConfigurationVersion;
}

/**
 * Decides when a process that has just started may serve with its configuration: once peers in two failure domains, or in all
 * of them if there are fewer, have reported their configuration positions and none is newer. This keeps a restarted process
 * from serving with an outdated configuration that it received first. Once ready, the process stays ready.
 *
 * Deterministic: it reads no clock and does no input or output.
 */
export class ReadinessTracker {
    private readonly peerPositions = new Map<string, PeerPosition>();
    private wasReady = false;

    private constructor() {}

    /** Creates the tracker of a process without reports from peers. */
    static create(): ReadinessTracker {
        return new ReadinessTracker();
    }

    /** Records the configuration position that a peer reported. */
    recordPeerPosition(vm: string, failureDomain: string, position: ConfigurationVersion): void {
        if (!this.wasReady) {
            this.peerPositions.set(vm, { failureDomain, position });
        }
    }

    /** True once `isReady` has returned true. */
    get hasBeenReady(): boolean {
        return this.wasReady;
    }

    /**
     * Returns true if the process may serve.
     *
     * @param own - Position of the process's configuration.
     * @param liveDomains - Failure domains of the other live members known to the process.
     */
    isReady(own: ConfigurationVersion, liveDomains: ReadonlySet<string>): boolean {
        if (this.wasReady || own.version === 0) {
            return this.wasReady;
        }
        const peers = [...this.peerPositions.values()];
        const domains = new Set(peers.map((peer) => peer.failureDomain));
        const isNewest = peers.every((peer) => comparePositions(peer.position, own) <= 0);
        const requiredDomains = Math.min(REQUIRED_DOMAINS, liveDomains.size);
        this.wasReady = isNewest && domains.size >= requiredDomains;
        return this.wasReady;
    }
}
