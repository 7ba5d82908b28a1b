import { ConfigurationVersion } from "../../../model/ConfigurationVersion.js";
import { comparePositions } from "../comparePositions/index.js";

const DOMAINS_NEEDED = 2;

interface HeardPeer {
    readonly failureDomain: string;
    readonly position: ConfigurationVersion;
}

/**
 * Tells when a process that has just started may serve by its configuration: once peers in two failure domains, or all
 * there are, have told their positions and none is newer. So a restarted process does not serve by an old
 * configuration that it heard of first. Once ready it stays ready.
 *
 * Deterministic: no clock, no input or output.
 */
export class ReadinessTracker {
    private readonly heard = new Map<string, HeardPeer>();
    private ready = false;

    private constructor() {}

    /** Creates the tracker of a process that has heard nobody. */
    static create(): ReadinessTracker {
        return new ReadinessTracker();
    }

    /** Takes note of the position that a peer told. */
    hear(vm: string, failureDomain: string, position: ConfigurationVersion): void {
        if (!this.ready) {
            this.heard.set(vm, { failureDomain, position });
        }
    }

    /** True once the process has been found ready. */
    get hasBeenReady(): boolean {
        return this.ready;
    }

    /**
     * Tells whether the process may serve.
     *
     * @param own - Position of its configuration.
     * @param liveDomains - Failure domains of the other live members that it knows.
     */
    isReady(own: ConfigurationVersion, liveDomains: ReadonlySet<string>): boolean {
        if (this.ready || own.version === 0) {
            return this.ready;
        }
        const peers = [...this.heard.values()];
        const domains = new Set(peers.map((peer) => peer.failureDomain));
        const isNewest = peers.every((peer) => comparePositions(peer.position, own) <= 0);
        const needed = Math.min(DOMAINS_NEEDED, liveDomains.size);
        this.ready = isNewest && domains.size >= needed;
        return this.ready;
    }
}
