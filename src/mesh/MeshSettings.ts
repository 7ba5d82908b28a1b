import * as z from "zod";
import { meshSettingsSchema } from "./meshSettingsSchema.js";

/** Validated settings of a proxy or a control VM. */
export type MeshSettings = z.infer<typeof meshSettingsSchema>;
