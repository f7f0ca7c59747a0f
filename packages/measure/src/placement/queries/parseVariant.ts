import { defaultPlacementWeights, type PlacementWeights } from "@currantrill/forwarding";

/**
 * Parses placement weights that differ from the defaults, such as `safeShare=0.6,partCost=0.03`. Throws an `Error` for
 * an unknown name or a value that is not a number.
 */
export function parseVariant(text: string): PlacementWeights {
    const assignments = text.split(",").map(assignment => assignment.split("="));
    for (const [name = "", value] of assignments) {
        if (!(name in defaultPlacementWeights) || !Number.isFinite(Number(value))) {
            throw new Error(
                `found ${name}=${value ?? ""}, expected one of ${
                    Object.keys(defaultPlacementWeights).join(", ")
                } and a number`,
            );
        }
    }
    return {
        ...defaultPlacementWeights,
        ...Object.fromEntries(assignments.map(([name = "", value]) => [name, Number(value)])),
    };
}
