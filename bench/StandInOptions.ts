/** Options of a stand-in backend server. */
export interface StandInOptions {
    readonly endpointId: string;
    readonly service: string;
    /** Port of the announce interface of the proxy beside it. */
    readonly announcePort: number;
    readonly port: number;
    /** Time to work on a request, in ms. */
    readonly serviceMs: number;
    /** Rate at which large bodies are sent, in bytes per ms; 0 for no limit. */
    readonly bytesPerMs: number;
}
