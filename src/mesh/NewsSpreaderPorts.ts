import { Message } from "../links/Message.js";

/** What the spreading of news asks of its control VM. */
export interface NewsSpreaderPorts {
    /** Sends a message to a linked VM. */
    send(vm: string, message: Message): void;
    /** Names of the other control VMs that are live. */
    peers(): readonly string[];
}
