/** Version stamp of a member's record. */
export interface MemberStamp {
    readonly vm: string;
    readonly startedAtMs: number;
    readonly sequence: number;
}
