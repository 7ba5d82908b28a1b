/** Specification of a stand-in backend server in a local fleet. */
export interface StandInSpec {
    readonly service: string;
    /** Processing time of a request, in ms. */
    readonly serviceMs: number;
    /** Rate limit for response bodies, in bytes per ms; 0 for no limit. */
    readonly bytesPerMs: number;
}
