/* eslint-disable @typescript-eslint/explicit-function-return-type */
/** Creates the limits item of the configuration, with the values of the protocol page. */
export function createLimits(version = "r1") {
    const spec = { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: "3000ms", idle_timeout: "15000ms" };
    return { entry_kind: "limits", metadata: { version }, spec };
}
