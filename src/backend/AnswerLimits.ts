/** Bounds on what is read from a backend server for one request. */
export interface AnswerLimits {
    /** Most bytes of bodies, answers to other requests included. */
    readonly maxBodyBytes: number;
    /** Most bytes of heads, interim answers and trailers. */
    readonly maxHeadBytes: number;
}
