import { Message } from "../links/Message.js";

/** The links of a process, as its controllers use them. */
export interface LinkNetwork {
    /** VMs with an open link. */
    readonly linkedVms: ReadonlySet<string>;
    /** True while the process is stopping. */
    readonly isClosing: boolean;
    /** Opens a link to an address; resolves to true if it is open. */
    connect(address: string): Promise<boolean>;
    /** Closes the link to a VM. */
    closeLink(vm: string): void;
    /** Sends a message to all linked peers, except optionally one. */
    broadcast(message: Message, exceptVm?: string): void;
    /** Sends a message to a linked peer; returns false if there is no link. */
    sendTo(vm: string, message: Message): boolean;
}
