import * as z from "zod";

/** Schema of the body of `POST /apply`. */
export const applyBodySchema = z.strictObject({
    /** Manifest text, unparsed. */
    text: z.string(),
    /** File name; its extension selects the format. */
    fileName: z.string().min(1),
    basedOnVersion: z.number().int().min(0),
    changeId: z.string().min(1).max(128),
});
