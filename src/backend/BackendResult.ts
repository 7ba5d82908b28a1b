import { BackendResponse } from "./BackendResponse.js";
import { BackendResultKind } from "./BackendResultKind.js";
import { ResponseExcess } from "./ResponseExcess.js";

/** Result of an exchange with a backend server. */
export type BackendResult =
    | { readonly kind: BackendResultKind.Answered; readonly answer: BackendResponse }
    | { readonly kind: BackendResultKind.NotConnected; readonly problem: string }
    | {
        readonly kind: BackendResultKind.NotSent;
        /** Bytes of requests that would be held, and the limit on them. */
        readonly heldBytes: number;
        readonly limitBytes: number;
    }
    | {
        readonly kind: BackendResultKind.Broken;
        readonly problem: string;
        /** What the response exceeded, if that is why it failed. */
        readonly excess: ResponseExcess | undefined;
        /** True if the connection had carried earlier requests. */
        readonly wasReused: boolean;
        readonly hadResponseBytes: boolean;
        /** Time from the request to the failure. */
        readonly afterMs: number;
    };
