import * as z from "zod";
import { announcementSchema } from "./announcementSchema.js";

/** A validated announcement of a backend server. */
export type Announcement = z.infer<typeof announcementSchema>;
