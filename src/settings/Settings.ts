import * as z from "zod";
import { settingsSchema } from "./settingsSchema.js";

/** Checked settings of a daemon, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
