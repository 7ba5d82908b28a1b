import { BackendAnswer } from "./BackendAnswer.js";
import { BackendResultKind } from "./BackendResultKind.js";

/** End of an exchange with a backend server. */
export type BackendResult =
    | { readonly kind: BackendResultKind.Answered; readonly answer: BackendAnswer }
    | { readonly kind: BackendResultKind.NotConnected; readonly problem: string }
    | { readonly kind: BackendResultKind.Broken; readonly problem: string; readonly wasReused: boolean; readonly hadAnswerBytes: boolean };
