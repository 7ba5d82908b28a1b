import { QuotaView } from "../decisions/quotas/QuotaView.js";
import { Message } from "../links/Message.js";

/** What `QuotaClient` works with. */
export interface QuotaClientDependencies {
    /** Returns what is known about the fleet. */
    view(): QuotaView;
    /** Sends a message to a control VM; returns false if there is no link. */
    send(vm: string, message: Message): boolean;
}
