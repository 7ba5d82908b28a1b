import * as z from "zod";
import { manifestSchema } from "./manifestSchema.js";

/** A validated manifest with all defaults filled in. */
export type Manifest = z.infer<typeof manifestSchema>;
