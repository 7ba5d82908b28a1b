import * as z from "zod";
import { meshSettingsSchema } from "./meshSettingsSchema.js";

/** Checked settings of a process that works beside an endpoint or keeps the configuration. */
export type MeshSettings = z.infer<typeof meshSettingsSchema>;
