import * as z from "zod";
import { settingsSchema } from "./settingsSchema.js";

/** Validated settings of a daemon, with defaults applied. */
export type Settings = z.infer<typeof settingsSchema>;
