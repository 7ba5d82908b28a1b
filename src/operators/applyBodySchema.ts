import * as z from "zod";

/** Schema of the body of an apply request over the operators' interface. */
export const applyBodySchema = z.strictObject({
    /** Manifest text as the operator wrote it. */
    text: z.string(),
    /** File name; its ending selects the format. */
    fileName: z.string().min(1),
    basedOnVersion: z.number().int().min(0),
    changeId: z.string().min(1).max(128),
});
