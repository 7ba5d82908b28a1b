/** Limits on what is read from a backend server for one request. */
export interface ResponseLimits {
    /** Maximum size of all bodies in bytes, including those of responses to other requests. */
    readonly maxBodyBytes: number;
    /** Maximum size of header sections, interim responses and trailers in bytes. */
    readonly maxHeadBytes: number;
}
