import { BackendAnswer } from "./BackendAnswer.js";
import { BackendResultKind } from "./BackendResultKind.js";

/** End of an exchange with a backend server. */
export type BackendResult =
    | { readonly kind: BackendResultKind.Answered; readonly answer: BackendAnswer }
    | { readonly kind: BackendResultKind.NotConnected; readonly problem: string }
    | {
        readonly kind: BackendResultKind.Broken;
        readonly problem: string;
        /** True if the connection had carried other requests before. */
        readonly wasReused: boolean;
        readonly hadAnswerBytes: boolean;
        /** Time from the request to the break. */
        readonly afterMs: number;
    };
