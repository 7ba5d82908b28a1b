/** Whether a service accepts an `Idempotency-Key` on requests that are not idempotent. */
export enum IdempotencyKeyPolicy {
    Ignored = "ignored",
    Optional = "optional",
    Required = "required",
}
