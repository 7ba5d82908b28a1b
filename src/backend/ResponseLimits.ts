/** Limits on what is read from a backend server for one request, including responses to other requests. */
export interface ResponseLimits {
    /** Maximum size of all bodies in bytes. */
    readonly maxBodyBytes: number;
    /** Maximum size of a body that is passed on while it is received, in bytes; unlimited if undefined. */
    readonly maxStreamedBytes?: number;
    /** Maximum size of header sections, interim responses, chunk extensions and trailers in bytes. */
    readonly maxHeadBytes: number;
    /** Maximum number of lines in header sections and trailers. */
    readonly maxFields: number;
    /** Maximum number of chunks, however small, beyond those that `minMeanChunkBytes` allows. */
    readonly maxSmallChunks: number;
    /** Size in bytes that chunks beyond `maxSmallChunks` must have on average. */
    readonly minMeanChunkBytes: number;
}
