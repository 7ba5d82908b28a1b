import { QuotaView } from "../decisions/quotas/QuotaView.js";
import { Message } from "../links/Message.js";
import { ProxyMessage } from "../tunnel/ProxyMessage.js";

/** What `QuotaClient` works with. */
export interface QuotaClientDependencies {
    /** Returns what is known about the fleet; its control VMs are those with a live link. */
    view(): QuotaView;
    /** Sends a message to a control VM; returns false if there is no link. */
    send(vm: string, message: Message): boolean;
    /** Proxies that messages can be sent to. */
    proxies(): readonly string[];
    /** Sends a message to another proxy; returns false if there is no connection. */
    sendToProxy(vm: string, message: ProxyMessage): boolean;
}
