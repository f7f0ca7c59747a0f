/** Size and weights of a deployment. The profiles are those of the first two deployments. */
export interface UserProfile {
    readonly name: "lilybrook" | "hooghly";
    readonly hosts: number;
    readonly engines: number;
    readonly domains: number;
    readonly workspaces: number;
    /**
     * Weight of the slowdown of short requests in the score, from 0 to 1; the rest is the weight of the time to first
     * token over all length classes.
     */
    readonly shortRequestWeight: number;
}

export const userProfiles: readonly UserProfile[] = [
    { name: "lilybrook", hosts: 6, engines: 20, domains: 3, workspaces: 10, shortRequestWeight: 0.8 },
    { name: "hooghly", hosts: 7, engines: 25, domains: 3, workspaces: 10, shortRequestWeight: 0.2 },
];
