/** One stand-in backend server of a local fleet. */
export interface StandInPlan {
    readonly service: string;
    readonly serviceMs: number;
    readonly bytesPerMs: number;
}
