import { BackendResponse } from "./BackendResponse.js";
import { BackendResultKind } from "./BackendResultKind.js";

/** Result of an exchange with a backend server. */
export type BackendResult =
    | { readonly kind: BackendResultKind.Answered; readonly answer: BackendResponse }
    | { readonly kind: BackendResultKind.NotConnected; readonly problem: string }
    | {
        readonly kind: BackendResultKind.Broken;
        readonly problem: string;
        /** True if the connection had carried earlier requests. */
        readonly wasReused: boolean;
        readonly hadResponseBytes: boolean;
        /** Time from the request to the failure. */
        readonly afterMs: number;
    };
