/**
 * Returns the name of the VM that a control identity belongs to.
 *
 * @param identity - Identity of a data folder, `<vm>:<hex>`.
 * @returns Name of the VM.
 * @example
 * vmOf("control-1:1a0434a1eaad"); // "control-1"
 */
export function vmOf(identity: string): string {
    return identity.slice(0, identity.lastIndexOf(":"));
}
