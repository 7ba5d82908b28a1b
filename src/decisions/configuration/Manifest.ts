import * as z from "zod";
import { manifestSchema } from "./manifestSchema.js";

/** A checked manifest with all defaults filled in. */
export type Manifest = z.infer<typeof manifestSchema>;
