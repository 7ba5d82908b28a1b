import { GateReply } from "../../tunnel/GateReply.js";
import { CourseEventKind } from "./CourseEventKind.js";

/** Something that happened to a request. */
export type CourseEvent =
    | { readonly kind: CourseEventKind.Begin }
    | { readonly kind: CourseEventKind.Reply; readonly attempt: number; readonly reply: GateReply }
    | { readonly kind: CourseEventKind.Hedge; readonly attempt: number }
    | { readonly kind: CourseEventKind.Deadline }
    | { readonly kind: CourseEventKind.Stop }
    | { readonly kind: CourseEventKind.CallerGone };
