import { Message } from "../links/Message.js";

/** Links of a process, as its controllers use them. */
export interface LinkNetwork {
    /** VMs with an open link. */
    readonly linkedVms: ReadonlySet<string>;
    /** True while the process stops. */
    readonly isClosing: boolean;
    /** Opens a link to an address; tells whether it is open. */
    connect(address: string): Promise<boolean>;
    /** Closes the link to a VM. */
    unlink(vm: string): void;
    /** Sends to all linked peers except one. */
    broadcast(message: Message, exceptVm?: string): void;
    /** Sends to one linked peer; tells whether there is a link. */
    sendTo(vm: string, message: Message): boolean;
}
