import { Message } from "../links/Message.js";

/** Calls a process over a link; resolves to undefined if no reply arrives in time. */
export type CallPeer = (vm: string, linkAddress: string, message: Message, timeoutMs: number) => Promise<Message | undefined>;
