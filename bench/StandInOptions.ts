/** Options of a stand-in backend server. */
export interface StandInOptions {
    readonly endpointId: string;
    readonly service: string;
    /** Announcement port of the proxy on the same VM. */
    readonly announcePort: number;
    readonly port: number;
    /** Processing time of a request, in ms. */
    readonly serviceMs: number;
    /** Rate limit for response bodies, in bytes per ms; 0 for no limit. */
    readonly bytesPerMs: number;
}
